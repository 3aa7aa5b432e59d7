package site

import (
	"bytes"
	"context"
	"fmt"
	"os"

	"github.com/juju/errors"

	"snipetally.example/operator/command"
)

// ErrCommandFailed means that the operator command exited with a non-zero code.
const ErrCommandFailed = errors.ConstError("operator command failed")

// RunCommand runs the operator command with OperatorKey against one of the
// routers and returns its standard output. It returns ErrCommandFailed with the
// exit code and standard error if the command fails.
func (s *Site) RunCommand(ctx context.Context, router int, args ...string) (string, error) {
	code, stdout, stderr, err := s.RunCommandWithKey(ctx, router, OperatorKey, args...)
	if err != nil {
		return "", err
	}
	if code != 0 {
		return stdout, fmt.Errorf("%w: exit code %d: %s", ErrCommandFailed, code, stderr)
	}
	return stdout, nil
}

// RunCommandWithKey runs the operator command with a key and returns its exit
// code, standard output and standard error.
func (s *Site) RunCommandWithKey(ctx context.Context, router int, key string, args ...string) (code int, stdout, stderr string, err error) {
	file, err := writeKeyFile(key)
	if err != nil {
		return 0, "", "", err
	}
	defer func() { _ = os.Remove(file) }()
	commandLine := append([]string{
		"snipetally", "-router", s.Routers[router].OperatorAddress(), "-keyfile", file, "-output", "json",
	}, args...)
	var outBuffer, errBuffer bytes.Buffer
	code = command.Run(ctx, commandLine, &outBuffer, &errBuffer)
	return code, outBuffer.String(), errBuffer.String(), nil
}

// writeKeyFile writes an operator's key to a temporary file and returns its path.
func writeKeyFile(key string) (string, error) {
	file, err := os.CreateTemp("", "operator-key-")
	if err != nil {
		return "", fmt.Errorf("create key file: %w", err)
	}
	defer func() { _ = file.Close() }()
	if _, err := file.WriteString(key); err != nil {
		return "", fmt.Errorf("write key file: %w", err)
	}
	return file.Name(), nil
}
