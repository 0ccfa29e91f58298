package cmds_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"verbenaroad.example/share/models/config"
	"verbenaroad.example/vctl/cmds"
)

const deploymentsDir = "../../deploy"

func findConfigFiles(t *testing.T, deployment string) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(deploymentsDir, deployment, "*.toml"))
	if err != nil || len(files) == 0 {
		t.Fatal("no files", err)
	}
	return files
}

func TestDeploymentsPassTheChecks(t *testing.T) {
	for _, deployment := range []string{"ljubljana", "le-goff"} {
		t.Run(deployment, func(t *testing.T) {
			is := is.New(t)
			r := run(t, append([]string{"apply", "--check"}, findConfigFiles(t, deployment)...)...)
			is.Equal(r.err, "")
			is.Equal(r.code, cmds.ExitOK)
		})
	}
}

func TestDevelopmentTokensMatchReadme(t *testing.T) {
	is := is.New(t)
	readme, err := os.ReadFile(filepath.Join(deploymentsDir, "README.md"))
	is.NoErr(err)
	rows := regexp.MustCompile("\\| ([a-z-]+) \\| (team|operator) ([a-z-]+) \\| `([a-z-]+)` \\|").FindAllStringSubmatch(string(readme), -1)
	is.Equal(len(rows), 16)
	for _, row := range rows {
		snapshot := config.NewSnapshot(1, readDeployment(t, row[1]))
		if row[2] == "team" {
			is.Equal(snapshot.GetTeamByToken(row[4]).Name, row[3])
			continue
		}
		is.Equal(snapshot.GetOperatorByToken(row[4]).Name, row[3])
	}
}

func readDeployment(t *testing.T, deployment string) config.Set {
	t.Helper()
	var joined strings.Builder
	for _, name := range findConfigFiles(t, deployment) {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		joined.Write(text)
		joined.WriteString("\n")
	}
	set, problems := config.ParseTOML(deployment, []byte(joined.String()))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	return set
}
