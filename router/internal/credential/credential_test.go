package credential_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/router/internal/contract"
	"snipetally.example/router/internal/credential"
	"snipetally.example/router/internal/settings"
)

// writeCertificate writes a new self-signed certificate with the serial number, and
// its key. The serial number is also the modification time of the files.
func writeCertificate(t *testing.T, certificateFile, keyFile string, serial int64) {
	t.Helper()
	g := gomega.NewWithT(t)
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	template := &x509.Certificate{SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	encoded, err := x509.MarshalECPrivateKey(private)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for path, block := range map[string]*pem.Block{
		certificateFile: {Type: "CERTIFICATE", Bytes: der},
		keyFile:         {Type: "EC PRIVATE KEY", Bytes: encoded},
	} {
		g.Expect(os.WriteFile(path, pem.EncodeToMemory(block), 0o600)).To(gomega.Succeed())
		g.Expect(os.Chtimes(path, time.Time{}, time.Unix(serial, 0))).To(gomega.Succeed())
	}
}

// servedSerial returns the serial number of the certificate that servers use.
func servedSerial(g *gomega.WithT, c *credential.Certificate) int64 {
	pair, err := c.TLSConfig().GetCertificate(&tls.ClientHelloInfo{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	leaf, err := x509.ParseCertificate(pair.Certificate[0])
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return leaf.SerialNumber.Int64()
}

func TestCertificateIsReloadedWhenItsFilesChange(t *testing.T) {
	dir := t.TempDir()
	certificateFile, keyFile := filepath.Join(dir, "certificate.pem"), filepath.Join(dir, "key.pem")
	writeCertificate(t, certificateFile, keyFile, 1)
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c, err := credential.LoadCertificate(certificateFile, keyFile)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(servedSerial(g, c)).To(gomega.Equal(int64(1)))

		writeCertificate(t, certificateFile, keyFile, 2)
		time.Sleep(2 * time.Second)
		g.Expect(servedSerial(g, c)).To(gomega.Equal(int64(2)))

		g.Expect(os.WriteFile(certificateFile, []byte("broken"), 0o600)).To(gomega.Succeed())
		time.Sleep(2 * time.Second)
		g.Expect(servedSerial(g, c)).To(gomega.Equal(int64(2)))
		g.Expect(c.Err()).To(gomega.HaveOccurred())
	})
}

func TestOldAndNewKeysAreAcceptedDuringRotation(t *testing.T) {
	g := gomega.NewWithT(t)
	request := func(key string) *http.Request {
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		r.Header.Set("Authorization", "Bearer "+key)
		return r
	}
	accounts := credential.Accounts{{Name: "o", Keys: []contract.KeyHash{sha256.Sum256([]byte("old")), sha256.Sum256([]byte("new"))}}, settings.Account{Name: "p"}}
	peerKeys := credential.NewPeerKeys([]string{"new", "old"})
	handler := peerKeys.RequireKey(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	for key, accepted := range map[string]bool{"old": true, "new": true, "": false, "other": false} {
		_, ok := accounts.Find(request(key))
		g.Expect(ok).To(gomega.Equal(accepted), key)
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request(key))
		g.Expect(recorder.Code == http.StatusOK).To(gomega.Equal(accepted), key)
	}
}
