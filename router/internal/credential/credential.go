// Package credential authenticates routers and operators: it loads TLS
// certificates, which are reloaded when their files change, and checks the keys
// of routers and operators. It imports packages settings and contract.
package credential

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
)

// minCheckInterval is the minimum time between two checks of the files.
const minCheckInterval = time.Second

// ErrNoAuthority means that a file contains no certificate authority.
const ErrNoAuthority = errors.ConstError("file contains no certificate authority")

// LoadCertPool reads the certificate authorities in a PEM file.
func LoadCertPool(path string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(path) //nolint:gosec // The settings name the file.
	if err != nil {
		return nil, fmt.Errorf("read certificate authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("read %s: %w", path, ErrNoAuthority)
	}
	return pool, nil
}

// Certificate is a certificate that is reloaded when its files change. If the new
// files can't be read, the old certificate stays in use.
type Certificate struct {
	certificateFile string
	keyFile         string

	// mu guards the fields below.
	mu       sync.Mutex
	current  *tls.Certificate
	modTimes modTimes
	checked  time.Time
	err      error
}

// modTimes holds the modification times of the files.
type modTimes struct {
	certificate time.Time
	key         time.Time
}

// LoadCertificate reads a certificate and its key from PEM files.
func LoadCertificate(certificateFile, keyFile string) (*Certificate, error) {
	c := &Certificate{certificateFile: certificateFile, keyFile: keyFile}
	if err := c.load(); err != nil {
		return nil, err
	}
	return c, nil
}

// TLSConfig returns a TLS configuration for servers. It serves the newest
// certificate on each handshake.
func (c *Certificate) TLSConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		NextProtos:     []string{"http/1.1"},
		GetCertificate: c.get,
	}
}

// Err returns the error of the last reload, or nil if it succeeded.
func (c *Certificate) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// get reloads the certificate if a check is due and returns the newest one that
// could be read.
func (c *Certificate) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.checked) >= minCheckInterval {
		c.checked = now
		c.err = c.load()
	}
	return c.current, nil
}

// load reads the files if they changed since the last successful call. The caller
// holds c.mu, except in LoadCertificate, where c is not shared yet.
func (c *Certificate) load() error {
	latest, err := c.stat()
	if err != nil {
		return err
	}
	if c.current != nil && latest == c.modTimes {
		return nil
	}
	pair, err := tls.LoadX509KeyPair(c.certificateFile, c.keyFile)
	if err != nil {
		return fmt.Errorf("read certificate: %w", err)
	}
	c.current, c.modTimes = &pair, latest
	return nil
}

// stat returns the current modification times of the files.
func (c *Certificate) stat() (modTimes, error) {
	certificate, err := os.Stat(c.certificateFile)
	if err != nil {
		return modTimes{}, fmt.Errorf("stat certificate file: %w", err)
	}
	key, err := os.Stat(c.keyFile)
	if err != nil {
		return modTimes{}, fmt.Errorf("stat key file: %w", err)
	}
	return modTimes{certificate: certificate.ModTime(), key: key.ModTime()}, nil
}
