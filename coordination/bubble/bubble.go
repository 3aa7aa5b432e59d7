// Package bubble runs cases of property tests in virtual time. Only tests import
// it.
package bubble

import (
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"
)

// Run runs one case of a property in a synctest bubble. If run returns a failure,
// the case fails with it after the bubble has ended: rapid ends a case by a panic,
// which must not pass through a bubble.
func Run(t *testing.T, rt *rapid.T, run func(t *testing.T) (failure string)) {
	t.Helper()
	var failure string
	synctest.Test(t, func(t *testing.T) { failure = run(t) })
	if failure != "" {
		rt.Fatalf("%s", failure)
	}
}
