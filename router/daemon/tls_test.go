package daemon_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/router/daemon"
	"snipetally.example/standin/engine"
	"snipetally.example/standin/platform"
)

// writeCertificate writes a self-signed certificate for loopback and its key. It
// returns their paths.
func writeCertificate(g *gomega.WithT, dir string) (certificate, key string) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true,
		BasicConstraintsValid: true, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	encoded, err := x509.MarshalECPrivateKey(private)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	certificate, key = filepath.Join(dir, "certificate.pem"), filepath.Join(dir, "key.pem")
	g.Expect(os.WriteFile(certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600)).To(gomega.Succeed())
	g.Expect(os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: encoded}), 0o600)).To(gomega.Succeed())
	return certificate, key
}

// confirmed reports whether a state dump says that the member itself has reported
// its revision in force.
func confirmed(dump, name string) bool {
	var state struct {
		Report struct {
			Members []struct {
				Member struct{ Name string }
				Known  bool
			}
		}
	}
	if json.Unmarshal([]byte(dump), &state) != nil {
		return false
	}
	for _, m := range state.Report.Members {
		if m.Member.Name == name && m.Known {
			return true
		}
	}
	return false
}

func TestEveryAddressServesTLSWithCertificate(t *testing.T) {
	g := gomega.NewWithT(t)
	g.SetDefaultEventuallyTimeout(readyTimeout)
	certificate, key := writeCertificate(g, t.TempDir())
	e := engine.New(engine.Config{Models: []string{"model"}})
	t.Cleanup(e.Close)
	list := platform.NewVMList(0)
	text := fmt.Sprintf(settingsText, listen(t, platform.NewTableService()), listen(t, list),
		sha256.Sum256([]byte("operator-key")), sha256.Sum256([]byte("team-key")), listen(t, e))
	secure := fmt.Sprintf("listen = \"127.0.0.1:0\"\ncertificate = %q\nkey = %q", certificate, key)
	text = strings.ReplaceAll(text, `listen = "127.0.0.1:0"`, secure)
	text = strings.Replace(text, "keys = [\"a-key", fmt.Sprintf("authority = %q\nkeys = [\"a-key", certificate), 1)

	var routers []*daemon.Router
	var vms []platform.VM
	for _, name := range []string{"router-a", "router-b"} {
		own := strings.Replace(text, `name = "router"`, fmt.Sprintf("name = %q", name), 1)
		router := runRouter(t, own)
		routers = append(routers, router)
		vms = append(vms, platform.VM{Name: name, Address: router.PeerAddress(), Zone: "a", Region: "r", State: platform.VMLive})
	}
	list.Set(vms...)

	pool := x509.NewCertPool()
	pemText, err := os.ReadFile(certificate)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	pool.AppendCertsFromPEM(pemText)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}}
	get := func(address, path, key string) string {
		request, err := http.NewRequest(http.MethodGet, "https://"+address+path, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		request.Header.Set("Authorization", "Bearer "+key)
		response, err := client.Do(request)
		if err != nil {
			return err.Error()
		}
		defer func() { _ = response.Body.Close() }()
		data, err := io.ReadAll(response.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return string(data)
	}
	for i, router := range routers {
		g.Eventually(router.Ready).Should(gomega.BeTrue())
		g.Expect(get(router.CallerAddress(), "/v1/models", "team-key")).To(gomega.ContainSubstring(`"id":"model"`))
		g.Eventually(func() bool {
			return confirmed(get(router.OperatorAddress(), "/state", "operator-key"), routers[1-i].Name())
		}).Should(gomega.BeTrue())
	}
	client.CloseIdleConnections()
}
