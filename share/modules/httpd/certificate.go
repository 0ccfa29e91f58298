package httpd

import (
	"github.com/lesismal/llib/std/crypto/tls"
)

// Certificate is a server's certificate with its key, in the form that nbhttp's TLS takes.
type Certificate = tls.Certificate

// LoadCertificate reads PEM files; it returns nil where no file is named.
func LoadCertificate(cert, key string) (*Certificate, error) {
	if cert == "" {
		return nil, nil //nolint:nilnil // a plain server has none
	}
	pair, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		return nil, ErrServer.Wrap(err)
	}
	return &pair, nil
}
