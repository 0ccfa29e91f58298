package pool_test

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"verbenaroad.example/fakes/services/pool"
)

func TestAnswersDependOnRequestOnly(t *testing.T) {
	is := is.New(t)
	is.Equal(pool.Embed("a"), pool.Embed("a"))
	is.True(pool.Embed("a")[0] != pool.Embed("b")[0])

	data, err := json.Marshal(pool.Embed("a"))
	is.NoErr(err)
	var decoded []float64
	is.NoErr(json.Unmarshal(data, &decoded))
	is.Equal(pool.Search(decoded, 3), pool.Search(pool.Embed("a"), 3)) // the vector is unchanged by JSON
	is.Equal(len(pool.Search(decoded, 3)), 3)

	all := pool.Rerank("q", []string{"x", "y", "z"}, 0)
	is.Equal(len(all), 3)
	is.True(all[0].Score >= all[1].Score)
	is.Equal(pool.Rerank("q", []string{"x", "y", "z"}, 2), all[:2])
}

func TestTextsDecodeStringOrList(t *testing.T) {
	tests := map[string]struct {
		data string
		want pool.Texts
	}{
		"one":  {`"one"`, pool.Texts{"one"}},
		"many": {` ["one","two"]`, pool.Texts{"one", "two"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var texts pool.Texts
			is.NoErr(json.Unmarshal([]byte(test.data), &texts))
			is.Equal(texts, test.want)
		})
	}
}
