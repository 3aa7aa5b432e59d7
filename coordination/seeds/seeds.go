// Package seeds fixes the seed and the number of cases of property tests, so
// that a test run gives the same result every time. Only tests import it.
package seeds

import (
	"flag"
	"os"
	"strconv"
)

const (
	// SeedVariable is the name of the environment variable that overrides the
	// seed.
	SeedVariable = "SNIPETALLY_SEED"

	// ChecksVariable is the name of the environment variable that overrides the
	// number of cases for each property.
	ChecksVariable = "SNIPETALLY_CHECKS"

	defaultSeed   = "20261203"
	defaultChecks = "100"
)

// Fix sets the flags of the rapid library. A test package calls it from an init
// function. Command-line flags still override the values.
func Fix() {
	setFlag("rapid.seed", envOr(SeedVariable, defaultSeed))
	setFlag("rapid.checks", envOr(ChecksVariable, defaultChecks))
	setFlag("rapid.nofailfile", "true")
}

// Number returns the seed for tests that draw random numbers without the rapid library.
func Number() uint64 {
	seed, err := strconv.ParseUint(envOr(SeedVariable, defaultSeed), 10, 64)
	if err != nil {
		panic("seeds: " + err.Error())
	}
	return seed
}

// envOr returns the value of an environment variable, or fallback if it is
// empty or not set.
func envOr(variable, fallback string) string {
	if v := os.Getenv(variable); v != "" {
		return v
	}
	return fallback
}

// setFlag sets a flag and panics if that fails, as it does if the rapid library
// is not linked in.
func setFlag(name, v string) {
	if err := flag.Set(name, v); err != nil {
		panic("seeds: " + err.Error())
	}
}
