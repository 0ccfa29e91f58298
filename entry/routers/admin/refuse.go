package admin

import (
	"crypto/rand"
	"encoding/json"

	"verbenaroad.example/share/modules/codes"
	"verbenaroad.example/share/modules/httpd"
	"verbenaroad.example/share/services/admapi"
)

// Refuse returns the answer to a request that the HTTP server refused before it reached the router.
func Refuse(reason httpd.Reason, detail string) (status int, body []byte) {
	code := httpd.CodeOf(reason)
	body, err := json.Marshal(admapi.Error{
		Code:      code,
		Name:      code.Name(),
		Outcome:   codes.OutcomeNotRun,
		Detail:    detail,
		RequestID: rand.Text(),
	})
	if err != nil {
		body = nil
	}
	return codes.GetEntry(code).Status, body
}
