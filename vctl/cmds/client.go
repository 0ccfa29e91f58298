package cmds

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"os"

	"verbenaroad.example/share/modules/codes"
	"verbenaroad.example/share/services/admapi"
)

// maxAnswer holds the documents of 19,000 teams.
const maxAnswer = 64 << 20

// refusal is an error body of the admin API.
type refusal struct {
	body admapi.Error
}

func (r *refusal) Error() string {
	return r.body.Name + " (" + string(r.body.Outcome) + "): " + r.body.Detail
}

// exitCode returns the code with which a refusal ends the program.
func (r *refusal) exitCode() int {
	switch {
	case r.body.Code == codes.ConfigConflict:
		return ExitConflict
	case r.body.Outcome == codes.OutcomeUnknown:
		return ExitUnknown
	default:
		return ExitRefused
	}
}

// request is one call of the admin API.
type request struct {
	method string
	// path is escaped.
	path  string
	query url.Values
	body  []byte
	// command is set where the call changes something, so that a lost answer leaves it unknown.
	command bool
}

// send makes a call and decodes its answer; a refused one is a *refusal.
func (a *app) send(ctx context.Context, r request, into any) error {
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	q, err := a.newRequest(ctx, r)
	if err != nil {
		return err
	}
	client, err := a.newClient()
	if err != nil {
		return err
	}
	answer, err := client.Do(q)
	if err != nil {
		return newCallError(r, err)
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	if err != nil {
		return newCallError(r, err)
	}
	if answer.StatusCode != http.StatusOK {
		return newRefusalOf(answer.StatusCode, text)
	}
	err = json.Unmarshal(text, into)
	if err != nil {
		return newRefusal("the server's answer can't be read: %v", err)
	}
	return nil
}

func (a *app) newRequest(ctx context.Context, r request) (*http.Request, error) {
	// Names are refused here as in all settings: addresses are IP numbers.
	address, err := netip.ParseAddrPort(a.server)
	if err != nil {
		return nil, newUsageError("--server %q: want ip:port", a.server)
	}
	token, err := a.token()
	if err != nil {
		return nil, err
	}
	target, err := url.Parse(r.path)
	if err != nil {
		return nil, newUsageError("%v", err)
	}
	target.Scheme = "http"
	target.Host = address.String()
	target.RawQuery = r.query.Encode()
	if a.caFile != "" {
		target.Scheme = "https"
	}
	q, err := http.NewRequestWithContext(ctx, r.method, target.String(), bytes.NewReader(r.body))
	if err != nil {
		return nil, newUsageError("%v", err)
	}
	q.Header.Set("Authorization", "Bearer "+token)
	return q, nil
}

func (a *app) newClient() (*http.Client, error) {
	transport := &http.Transport{DisableKeepAlives: true}
	if a.caFile == "" {
		return &http.Client{Transport: transport}, nil
	}
	text, err := os.ReadFile(a.caFile)
	if err != nil {
		return nil, newUsageError("--ca-file: %v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, newUsageError("--ca-file: %s holds no certificate", a.caFile)
	}
	transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}
	return &http.Client{Transport: transport}, nil
}

// newCallError tells a call that was certainly not sent from one whose answer is missing.
func newCallError(r request, err error) error {
	var failed *net.OpError
	notSent := errors.As(err, &failed) && failed.Op == "dial"
	if r.command && !notSent {
		return &exitError{code: ExitUnknown, detail: "the answer is missing: " + err.Error()}
	}
	return newRefusal("not done: %v", err)
}

func newRefusalOf(status int, text []byte) error {
	var body admapi.Error
	err := json.Unmarshal(text, &body)
	if err != nil || body.Name == "" {
		return newRefusal("the server answered with status %d", status)
	}
	return &refusal{body: body}
}
