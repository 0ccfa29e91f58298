package runner

import (
	"math/rand/v2"
	"strconv"
	"strings"

	"verbenaroad.example/vload/models/scene"
)

// corpusWords is the length of the text that prompts are cut from.
const corpusWords = 1 << 15

// promptSalt separates the random numbers of prompts from those of the schedule, which uses the
// same seed.
const promptSalt = 0xd1b54a32d192ed03

// corpus is a fixed random text; prompts are substrings of it, so none has to be built word by
// word.
type corpus struct {
	text string
	// starts holds the offset of each word, and the length of text at the end.
	starts []int
}

// newCorpus returns a corpus that depends on the seed alone.
func newCorpus(seed uint64) *corpus {
	words := strings.Fields("spruce jack plectrum quill bridge soundboard register tongue rule crease die board sheet carton label press draft order maker kit")
	random := rand.New(rand.NewPCG(seed, promptSalt))
	c := &corpus{starts: make([]int, 0, corpusWords+1)}
	var text strings.Builder
	for range corpusWords {
		c.starts = append(c.starts, text.Len())
		text.WriteString(words[random.IntN(len(words))])
		text.WriteByte(' ')
	}
	c.starts = append(c.starts, text.Len())
	c.text = text.String()
	return c
}

// cut returns count consecutive words of the corpus from a random start, or all words if it has
// fewer.
func (c *corpus) cut(random *rand.Rand, count int) string {
	count = min(count, corpusWords)
	from := random.IntN(corpusWords - count + 1)
	return c.text[c.starts[from]:c.starts[from+count]]
}

// promptGenerator generates the prompts of one class.
type promptGenerator struct {
	settings scene.Prompt
	corpus   *corpus
	prefixes []string
}

// newPromptGenerator draws the shared prefixes, which depend only on the corpus, the settings and
// the seed.
func newPromptGenerator(c *corpus, settings scene.Prompt, seed uint64) *promptGenerator {
	random := rand.New(rand.NewPCG(seed, promptSalt))
	p := &promptGenerator{settings: settings, corpus: c}
	for i := range settings.Prefixes {
		p.prefixes = append(p.prefixes, "prefix "+strconv.Itoa(i)+" "+c.cut(random, settings.PrefixWords))
	}
	return p
}

// generate returns the prompt of a seed. The seed itself follows the prefix, so that prompts
// share the prefix and nothing after it.
func (p *promptGenerator) generate(seed uint64) string {
	random := rand.New(rand.NewPCG(seed, promptSalt))
	prefix := ""
	if len(p.prefixes) > 0 {
		prefix = p.prefixes[random.IntN(len(p.prefixes))]
	}
	return prefix + strconv.FormatUint(seed, 36) + " " + p.corpus.cut(random, p.drawLength(random))
}

// drawLength draws the number of words of a prompt.
func (p *promptGenerator) drawLength(random *rand.Rand) int {
	s := &p.settings
	switch s.Length {
	case scene.DistributionUniform:
		return s.Min + random.IntN(s.Max-s.Min+1)
	case scene.DistributionExponential:
		return min(max(int(random.ExpFloat64()*float64(s.Words)), s.Min), s.Max)
	default:
		return s.Words
	}
}
