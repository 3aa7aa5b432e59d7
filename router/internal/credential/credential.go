// Package credential holds what proves who is speaking: certificates, which are
// read again when their files change, and the keys that routers and operators
// authenticate with. It imports settings and contract.
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

// checkBetween is the shortest time between two looks at the files.
const checkBetween = time.Second

// ErrNoAuthority says that a file holds no certificate authority.
const ErrNoAuthority = errors.ConstError("no certificate authority in the file")

// LoadCertPool reads the certificate authorities of a PEM file.
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

// Certificate is a certificate that is read again when its files change. A
// change that can't be read leaves the old certificate in use.
type Certificate struct {
	certificate string
	key         string

	// mu guards the fields below.
	mu      sync.Mutex
	current *tls.Certificate
	stamp   stamp
	looked  time.Time
	err     error
}

// stamp tells two states of the files apart.
type stamp struct {
	certificate time.Time
	key         time.Time
}

// LoadCertificate reads the certificate and its key from PEM files.
func LoadCertificate(certificate, key string) (*Certificate, error) {
	c := &Certificate{certificate: certificate, key: key}
	if err := c.load(); err != nil {
		return nil, err
	}
	return c, nil
}

// TLSConfig returns a configuration for servers.
func (c *Certificate) TLSConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		NextProtos:     []string{"http/1.1"},
		GetCertificate: c.get,
	}
}

// Err returns why the newest files could not be read, or nil.
func (c *Certificate) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// get returns the newest certificate that could be read.
func (c *Certificate) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.looked) >= checkBetween {
		c.looked = now
		c.err = c.load()
	}
	return c.current, nil
}

// load reads the files if they changed. The caller holds c.mu, but for the
// first call.
func (c *Certificate) load() error {
	now, err := c.look()
	if err != nil {
		return err
	}
	if c.current != nil && now == c.stamp {
		return nil
	}
	pair, err := tls.LoadX509KeyPair(c.certificate, c.key)
	if err != nil {
		return fmt.Errorf("read certificate: %w", err)
	}
	c.current, c.stamp = &pair, now
	return nil
}

func (c *Certificate) look() (stamp, error) {
	certificate, err := os.Stat(c.certificate)
	if err != nil {
		return stamp{}, fmt.Errorf("look at certificate: %w", err)
	}
	key, err := os.Stat(c.key)
	if err != nil {
		return stamp{}, fmt.Errorf("look at key: %w", err)
	}
	return stamp{certificate: certificate.ModTime(), key: key.ModTime()}, nil
}
