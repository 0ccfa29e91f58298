package httpd

import (
	"github.com/lesismal/llib/std/crypto/tls"
)

// Certificate is a server certificate with its private key, of the type that nbhttp uses for TLS.
type Certificate = tls.Certificate

// LoadCertificate reads a certificate and its key from PEM files. It returns nil if cert is empty.
func LoadCertificate(cert, key string) (*Certificate, error) {
	if cert == "" {
		return nil, nil //nolint:nilnil // a server without TLS has no certificate
	}
	pair, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		return nil, ErrServer.Wrap(err)
	}
	return &pair, nil
}
