package config_test

import (
	"testing"

	"github.com/matryer/is"

	"verbenaroad.example/share/models/config"
)

// Guards against a caller being taken for another team, or a stranger for a team.
func TestSnapshotFindsTeamByToken(t *testing.T) {
	is := is.New(t)
	set := config.Set{Teams: []config.Team{{Name: "kranj", TokenSHA256: []string{config.DigestToken("spruce")}}}}
	s := config.NewSnapshot(3, set)
	is.Equal(s.GetTeamByToken("spruce").Name, "kranj")
	is.Equal(s.GetTeamByToken("fir"), nil)
	is.Equal(s.Revision, uint64(3))
}
