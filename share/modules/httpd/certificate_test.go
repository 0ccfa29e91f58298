package httpd_test

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/modules/httpd"
)

// writeCertificate writes a self-signed certificate for 127.0.0.1 and its key, and returns the file
// names and a pool that trusts it.
func writeCertificate(t *testing.T) (cert, key string, pool *x509.CertPool) {
	t.Helper()
	is := is.New(t)
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	is.NoErr(err)
	encoded, err := x509.MarshalPKCS8PrivateKey(private)
	is.NoErr(err)
	cert, key = filepath.Join(t.TempDir(), "cert.pem"), filepath.Join(t.TempDir(), "key.pem")
	text := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	is.NoErr(os.WriteFile(cert, text, 0o600))
	is.NoErr(os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encoded}), 0o600))
	pool = x509.NewCertPool()
	is.True(pool.AppendCertsFromPEM(text))
	return cert, key, pool
}

func TestLoadCertificate(t *testing.T) {
	is := is.New(t)
	none, err := httpd.LoadCertificate("", "")
	is.NoErr(err)
	is.True(none == nil)
	_, err = httpd.LoadCertificate("/none", "/none")
	is.True(err != nil)
}

// Over TLS the server must serve, stream, refuse a body that is too long with an answer, and cancel
// the request's context when the caller disconnects, as it does without TLS.
func TestServerOverTLS(t *testing.T) {
	is := is.New(t)
	certFile, keyFile, pool := writeCertificate(t)
	certificate, err := httpd.LoadCertificate(certFile, keyFile)
	is.NoErr(err)
	ended := make(chan struct{})
	s, err := httpd.NewServer(httpd.Options{
		Address:      netip.MustParseAddrPort("127.0.0.1:0"),
		Certificate:  certificate,
		MaxBodyBytes: 100 << 10,
		Refuse:       func(httpd.Reason, string) (int, []byte) { return http.StatusRequestEntityTooLarge, []byte("{}") },
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/hang" {
				_, _ = io.WriteString(w, "data: first\n\n")
				w.(http.Flusher).Flush()
				<-r.Context().Done()
				close(ended)
				return
			}
			_, _ = io.Copy(w, r.Body)
		}),
	})
	is.NoErr(err)
	defer func() { _ = s.Shutdown(context.Background()) }()
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}}
	url := "https://" + s.Address().String()

	sent := bytes.Repeat([]byte("spruce"), 10<<10)
	got, err := client.Post(url, "text/plain", bytes.NewReader(sent))
	is.NoErr(err)
	body, err := io.ReadAll(got.Body)
	is.NoErr(err)
	is.True(bytes.Equal(body, sent))

	got, err = client.Post(url, "text/plain", bytes.NewReader(make([]byte, 300<<10)))
	is.NoErr(err)
	is.Equal(got.StatusCode, http.StatusRequestEntityTooLarge)

	got, err = client.Get(url + "/hang")
	is.NoErr(err)
	is.NoErr(got.Body.Close())
	select {
	case <-ended:
	case <-time.After(20 * time.Second):
		t.Fatal("the request's context was not canceled after the caller disconnected")
	}
}
