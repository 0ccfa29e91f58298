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

// maxResponseBytes limits the body of a response. The documents of 19,000 teams fit into it.
const maxResponseBytes = 64 << 20

// apiError is an error response of the admin API.
type apiError struct {
	body admapi.Error
}

func (e *apiError) Error() string {
	return e.body.Name + " (" + string(e.body.Outcome) + "): " + e.body.Detail
}

// exitCode returns the exit code of the program for the error.
func (e *apiError) exitCode() int {
	switch {
	case e.body.Code == codes.ConfigConflict:
		return ExitConflict
	case e.body.Outcome == codes.OutcomeUnknown:
		return ExitUnknown
	default:
		return ExitRefused
	}
}

// request is a request to the admin API.
type request struct {
	method string
	// path is already percent-encoded.
	path  string
	query url.Values
	body  []byte
	// mutates is set if the request changes something: without a response, its outcome is unknown.
	mutates bool
}

// send sends a request and decodes the response into result. An error response is returned as an
// *apiError.
func (a *app) send(ctx context.Context, r request, result any) error {
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	httpRequest, err := a.newRequest(ctx, r)
	if err != nil {
		return err
	}
	client, err := a.newClient()
	if err != nil {
		return err
	}
	response, err := client.Do(httpRequest)
	if err != nil {
		return newTransportError(r, err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return newTransportError(r, err)
	}
	if response.StatusCode != http.StatusOK {
		return newAPIError(response.StatusCode, text)
	}
	err = json.Unmarshal(text, result)
	if err != nil {
		return newRefusedError("the server's answer can't be read: %v", err)
	}
	return nil
}

func (a *app) newRequest(ctx context.Context, r request) (*http.Request, error) {
	// Host names are rejected, as in all settings: an address is an IP address and a port.
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
	httpRequest, err := http.NewRequestWithContext(ctx, r.method, target.String(), bytes.NewReader(r.body))
	if err != nil {
		return nil, newUsageError("%v", err)
	}
	httpRequest.Header.Set("Authorization", "Bearer "+token)
	return httpRequest, nil
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

// newTransportError returns the error for a request without a complete response. If the request
// changes something, its outcome is unknown, unless the connection could not be established.
func newTransportError(r request, err error) error {
	var opErr *net.OpError
	notSent := errors.As(err, &opErr) && opErr.Op == "dial"
	if r.mutates && !notSent {
		return &exitError{code: ExitUnknown, detail: "the answer is missing: " + err.Error()}
	}
	return newRefusedError("not done: %v", err)
}

// newAPIError returns the *apiError in the body of an error response. A body of another form, for
// example from a proxy, gives an error with the status only.
func newAPIError(status int, text []byte) error {
	var body admapi.Error
	err := json.Unmarshal(text, &body)
	if err != nil || body.Name == "" {
		return newRefusedError("the server answered with status %d", status)
	}
	return &apiError{body: body}
}
