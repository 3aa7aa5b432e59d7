package site

import (
	"bytes"
	"context"
	"fmt"
	"os"

	"github.com/juju/errors"

	"snipetally.example/operator/command"
)

// ErrCommandFailed says that an operators' command failed.
const ErrCommandFailed = errors.ConstError("operators' command failed")

// RunCommand runs the operators' command against one of the routers and returns
// what it printed.
func (s *Site) RunCommand(ctx context.Context, router int, args ...string) (string, error) {
	code, out, errs, err := s.RunCommandWithKey(ctx, router, OperatorKey, args...)
	if err != nil {
		return "", err
	}
	if code != 0 {
		return out, fmt.Errorf("%w: exit code %d: %s", ErrCommandFailed, code, errs)
	}
	return out, nil
}

// RunCommandWithKey runs the operators' command with a key and returns its exit code and
// what it printed.
func (s *Site) RunCommandWithKey(ctx context.Context, router int, key string, args ...string) (code int, out, errs string, err error) {
	file, err := keyFile(key)
	if err != nil {
		return 0, "", "", err
	}
	defer func() { _ = os.Remove(file) }()
	line := append([]string{
		"snipetally", "-router", s.Routers[router].OperatorAddress(), "-keyfile", file, "-output", "json",
	}, args...)
	var outText, errText bytes.Buffer
	code = command.Run(ctx, line, &outText, &errText)
	return code, outText.String(), errText.String(), nil
}

// keyFile writes an operator's key to a file.
func keyFile(key string) (string, error) {
	file, err := os.CreateTemp("", "operator-key-")
	if err != nil {
		return "", fmt.Errorf("make key file: %w", err)
	}
	defer func() { _ = file.Close() }()
	if _, err := file.WriteString(key); err != nil {
		return "", fmt.Errorf("write key file: %w", err)
	}
	return file.Name(), nil
}
