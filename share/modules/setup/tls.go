package setup

import (
	"crypto/tls"
	"crypto/x509"
	"flag"
	"net/netip"
	"os"

	"github.com/zeebo/errs"
)

// TLS is the table [tls]: mutual TLS between the system's own processes.
type TLS struct {
	// Cert, Key and Authority are the names of PEM files. Either all three are set or none.
	Cert      string
	Key       string
	Authority string
}

// Register adds the flags of the section to fs.
func (s *TLS) Register(fs *flag.FlagSet) {
	fs.StringVar(&s.Cert, "tls.cert", "", "PEM `file` with this process's certificate; empty: no TLS, on loopback only")
	fs.StringVar(&s.Key, "tls.key", "", "PEM `file` with its private key")
	fs.StringVar(&s.Authority, "tls.authority", "", "PEM `file` with the certificate of the authority that signs every process's certificate")
}

// Check returns the faults of the section.
func (s *TLS) Check() []error {
	set := 0
	for _, name := range []string{s.Cert, s.Key, s.Authority} {
		if name != "" {
			set++
		}
	}
	if set != 0 && set != 3 {
		return []error{errs.New("tls.cert: cert, key and authority must be set together")}
	}
	return nil
}

// CheckListen returns a fault if a listener without TLS has an address that other machines can
// reach. key is the setting of the address.
func (s *TLS) CheckListen(key string, address netip.AddrPort) []error {
	if s.Cert == "" && address.IsValid() && !address.Addr().IsLoopback() {
		return []error{errs.New("%s: %s needs [tls]; plain is for loopback only", key, address)}
	}
	return nil
}

// BuildConfig returns the TLS configuration for both ends of a session, or nil without TLS.
func (s *TLS) BuildConfig() (*tls.Config, error) {
	if s.Cert == "" {
		return nil, nil //nolint:nilnil // sessions without TLS have no configuration
	}
	pair, err := tls.LoadX509KeyPair(s.Cert, s.Key)
	if err != nil {
		return nil, ErrSetup.Wrap(err)
	}
	pem, err := os.ReadFile(s.Authority)
	if err != nil {
		return nil, ErrSetup.Wrap(err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return nil, ErrSetup.New("tls.authority: no certificate in %s", s.Authority)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		RootCAs:      authorities,
		ClientCAs:    authorities,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}, nil
}

// ServerCert is the certificate of an HTTP API. Its settings are two keys in the table of the API.
type ServerCert struct {
	// Cert and Key are the names of PEM files. Either both are set or none.
	Cert string
	Key  string
}

// Register adds the flags of the two keys to fs.
func (c *ServerCert) Register(fs *flag.FlagSet, table string) {
	fs.StringVar(&c.Cert, table+".cert", "", "PEM `file` with the certificate of this API; empty: plain HTTP")
	fs.StringVar(&c.Key, table+".key", "", "PEM `file` with its private key")
}

// Check returns the faults of the two keys.
func (c *ServerCert) Check(table string) []error {
	if (c.Cert == "") != (c.Key == "") {
		return []error{errs.New("%s.cert: goes together with %s.key", table, table)}
	}
	return nil
}
