package draft_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"verbenaroad.example/share/models/config"
	"verbenaroad.example/vload/services/draft"
)

func TestGeneratedConfigurationIsValid(t *testing.T) {
	is := is.New(t)
	var text strings.Builder
	is.NoErr(draft.WriteTOML(&text, draft.Options{Teams: 30, Pipelines: 29, Services: 23}))
	set, problems := config.ParseTOML("draft.toml", []byte(text.String()))
	is.Equal(len(problems), 0)
	is.Equal(len(config.Validate(set)), 0)
	is.Equal(len(set.Teams), 30)
	is.Equal(len(set.Pipelines), 29)
	is.Equal(len(set.Services), 27)
	is.Equal(set.Teams[0].TokenSHA256[0], config.DigestToken("token-of-team-00000"))
}

func TestChangeNumbersGiveDifferentWeights(t *testing.T) {
	is := is.New(t)
	var first, second strings.Builder
	is.NoErr(draft.WriteChange(&first, 7, 1))
	is.NoErr(draft.WriteChange(&second, 7, 2))
	is.True(first.String() != second.String())
	set, problems := config.ParseTOML("change.toml", []byte(second.String()))
	is.Equal(len(problems), 0)
	is.Equal(set.Teams[0].Weight, 3.5)
}
