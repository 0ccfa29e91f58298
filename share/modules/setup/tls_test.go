package setup_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/modules/link"
	"verbenaroad.example/share/modules/setup"
	"verbenaroad.example/share/modules/wire"
)

// authority is a certificate authority with a directory for the certificates that it signs.
type authority struct {
	directory string
	cert      *x509.Certificate
	key       *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{directory: t.TempDir()}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "authority"},
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	a.key = newKey(t)
	a.cert = a.sign(t, "authority", template, template, a.key)
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// sign signs a certificate, writes it and its key to name.pem and name.key and returns it.
func (a *authority) sign(t *testing.T, name string, template, parent *x509.Certificate, key *ecdsa.PrivateKey) *x509.Certificate {
	t.Helper()
	is := is.New(t)
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, a.key)
	is.NoErr(err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	is.NoErr(err)
	is.NoErr(os.WriteFile(a.path(name+".pem"), pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	is.NoErr(os.WriteFile(a.path(name+".key"), pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private}), 0o600))
	cert, err := x509.ParseCertificate(der)
	is.NoErr(err)
	return cert
}

func (a *authority) path(name string) string {
	return filepath.Join(a.directory, name)
}

// issue signs a certificate for an IP address and returns the settings of a process that uses it.
func (a *authority) issue(t *testing.T, name, ip string) setup.TLS {
	t.Helper()
	a.sign(t, name, &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.ParseIP(ip)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, a.cert, newKey(t))
	return setup.TLS{Cert: a.path(name + ".pem"), Key: a.path(name + ".key"), Authority: a.path("authority.pem")}
}

// server accepts sessions with the settings of one process.
type server struct {
	listener net.Listener
	options  link.Options
}

func (s *server) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.runAccept(conn)
	}
}

func (s *server) runAccept(conn net.Conn) {
	if _, err := link.Accept(conn, s.options); err != nil {
		_ = conn.Close()
	}
}

func newOptions(t *testing.T, name string, s setup.TLS) link.Options {
	t.Helper()
	config, err := s.BuildConfig()
	is.New(t).NoErr(err)
	return link.Options{
		Hello:        &wire.Hello{Version: wire.Version, Name: name},
		TLS:          config,
		HelloTimeout: 2 * time.Second,
		NewHeartbeat: func() *wire.Beat { return &wire.Beat{} },
	}
}

// Guards against sessions between an entry and an agent when one of them has no certificate of the
// deployment's authority, or when the agent's certificate is for another IP address than the one
// dialed.
func TestSessionsUnderMutualTLS(t *testing.T) {
	own, other := newAuthority(t), newAuthority(t)
	agent := own.issue(t, "agent", "127.0.0.1")
	tests := []struct {
		name          string
		entry, agent  setup.TLS
		sessionOpened bool
	}{
		{"same authority", own.issue(t, "entry", "127.0.0.1"), agent, true},
		{"entry at another address", own.issue(t, "entry-2", "10.0.0.2"), agent, true},
		{"entry of another authority", other.issue(t, "entry", "127.0.0.1"), agent, false},
		{"agent of another authority", own.issue(t, "entry", "127.0.0.1"), other.issue(t, "agent", "127.0.0.1"), false},
		{"agent's certificate for another address", own.issue(t, "entry", "127.0.0.1"), own.issue(t, "agent-2", "10.0.0.2"), false},
		{"plain entry", setup.TLS{}, agent, false},
		{"plain agent", own.issue(t, "entry", "127.0.0.1"), setup.TLS{}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = listener.Close() }()
			s := &server{listener: listener, options: newOptions(t, "agent", tt.agent)}
			go s.run()
			address := netip.MustParseAddrPort(listener.Addr().String())
			session, err := link.Dial(t.Context(), address, newOptions(t, "entry", tt.entry))
			is.Equal(err == nil, tt.sessionOpened)
			if err == nil {
				is.Equal(session.Peer().GetName(), "agent")
				_ = session.Close()
			}
		})
	}
}

// Guards against accepting incomplete or unreadable TLS settings, or a listener without TLS that
// other machines can reach.
func TestTLSSettings(t *testing.T) {
	is := is.New(t)
	complete := newAuthority(t).issue(t, "agent", "127.0.0.1")
	is.Equal(len(complete.Check()), 0)
	incomplete := complete
	incomplete.Key = ""
	is.Equal(len(incomplete.Check()), 1)
	for _, invalid := range []setup.TLS{
		{Cert: "/none", Key: complete.Key, Authority: complete.Authority},
		{Cert: complete.Cert, Key: complete.Key, Authority: "/none"},
		{Cert: complete.Cert, Key: complete.Key, Authority: complete.Key},
	} {
		_, err := invalid.BuildConfig()
		is.True(err != nil)
	}
	external, loopback := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:1")
	is.Equal(len((&setup.TLS{}).CheckListen("peers.listen", external)), 1)
	is.Equal(len((&setup.TLS{}).CheckListen("peers.listen", loopback)), 0)
	is.Equal(len(complete.CheckListen("peers.listen", external)), 0)
}
