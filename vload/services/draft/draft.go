// Package draft generates configurations of any size for measurements.
package draft

import (
	"fmt"
	"io"
	"strings"

	"verbenaroad.example/share/models/config"
)

// Options sets the size of the configuration.
type Options struct {
	Teams     int
	Pipelines int
	// Services is the number of engine services, in addition to encoder, retriever, reranker and
	// orders.
	Services int
}

// tokenDigest returns the digest of the token "token-of-NAME".
func tokenDigest(name string) string {
	return config.DigestToken("token-of-" + name)
}

// WriteTOML writes a complete configuration. The token of each team is "token-of-" and its name,
// for example "token-of-team-00000".
func WriteTOML(w io.Writer, o Options) error {
	var text strings.Builder
	fmt.Fprintf(&text, "[[limits]]\nname = \"deployment\"\nstale-after = \"0s\"\nclaim-retention = \"48h\"\n")
	fmt.Fprintf(&text, "[[operator]]\nname = \"ana\"\ntoken-sha256 = %q\nrole = \"change\"\n", tokenDigest("ana"))
	for i := range o.Services {
		fmt.Fprintf(&text, "[[service]]\nname = \"service-%02d\"\nkind = \"engine\"\ndeadline = \"4s\"\nretry-share = 0.1\n", i)
	}
	for _, name := range []string{"encoder", "retriever", "reranker"} {
		fmt.Fprintf(&text, "[[service]]\nname = %q\nkind = \"pool\"\ndeadline = \"4s\"\nretry-share = 0.1\n", name)
	}
	text.WriteString("[[service]]\nname = \"orders\"\nkind = \"plain\"\ndeadline = \"4s\"\n")
	text.WriteString("[[service.route]]\nmethod = \"POST\"\npath = \"/orders\"\nidempotent = false\n")
	for i := range o.Pipelines {
		writePipeline(&text, i, o.Services)
	}
	for i := range o.Teams {
		writeTeam(&text, i)
	}
	_, err := io.WriteString(w, text.String())
	return err
}

func writePipeline(text *strings.Builder, i, services int) {
	fmt.Fprintf(text, "[[pipeline]]\nname = \"pipeline-%02d\"\ndeadline = \"4s\"\n", i)
	stages := []struct{ kind, service string }{{"encode", "encoder"}, {"retrieve", "retriever"}, {"rerank", "reranker"}}
	for _, s := range stages {
		fmt.Fprintf(text, "[[pipeline.stage]]\nname = %q\nkind = %q\nservice = %q\nmodel = \"small\"\nlimit = 8\n", s.kind, s.kind, s.service)
	}
	fmt.Fprintf(text, "[[pipeline.stage]]\nname = \"generate\"\nkind = \"generate\"\nservice = \"service-%02d\"\nmodel = \"model\"\nlimit = 512\n", i%max(1, services))
}

func writeTeam(text *strings.Builder, i int) {
	name := fmt.Sprintf("team-%05d", i)
	fmt.Fprintf(text, "[[team]]\nname = %q\ntoken-sha256 = [%q]\npriority = \"normal\"\nweight = 1.0\n[team.labels]\ntier = \"workshop\"\nregion = \"north\"\n", name, tokenDigest(name))
}

// WriteChange writes the document of one team with a changed weight. The number determines the
// weight, which repeats every 900 numbers.
func WriteChange(w io.Writer, team, number int) error {
	var text strings.Builder
	writeTeam(&text, team)
	_, err := io.WriteString(w, strings.Replace(text.String(), "weight = 1.0", fmt.Sprintf("weight = %d.5", 1+number%900), 1))
	return err
}
