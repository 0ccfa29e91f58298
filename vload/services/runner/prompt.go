package runner

import (
	"math/rand/v2"
	"strconv"
	"strings"

	"verbenaroad.example/vload/models/scene"
)

// corpusWords is the length of the text that prompts are cut from.
const corpusWords = 1 << 15

// promptSalt keeps the draws of a prompt apart from those of the schedule.
const promptSalt = 0xd1b54a32d192ed03

// corpus is a fixed random text that can be cut at any word without building it anew.
type corpus struct {
	text string
	// starts holds the offset of each word, and the length of text at the end.
	starts []int
}

// newCorpus returns the text of a seed.
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

// cut returns count words from a random place.
func (c *corpus) cut(random *rand.Rand, count int) string {
	count = min(count, corpusWords)
	from := random.IntN(corpusWords - count + 1)
	return c.text[c.starts[from]:c.starts[from+count]]
}

// prompter makes the prompts of one class.
type prompter struct {
	settings scene.Prompt
	corpus   *corpus
	prefixes []string
}

// newPrompter draws the shared prefixes; the same seed and class give the same ones.
func newPrompter(c *corpus, settings scene.Prompt, seed uint64) *prompter {
	random := rand.New(rand.NewPCG(seed, promptSalt))
	p := &prompter{settings: settings, corpus: c}
	for i := range settings.Prefixes {
		p.prefixes = append(p.prefixes, "prefix "+strconv.Itoa(i)+" "+c.cut(random, settings.PrefixWords))
	}
	return p
}

// prompt returns the text of a seed. The seed itself follows the prefix, so that
// prompts share their prefix and nothing behind it.
func (p *prompter) prompt(seed uint64) string {
	random := rand.New(rand.NewPCG(seed, promptSalt))
	prefix := ""
	if len(p.prefixes) > 0 {
		prefix = p.prefixes[random.IntN(len(p.prefixes))]
	}
	return prefix + strconv.FormatUint(seed, 36) + " " + p.corpus.cut(random, p.words(random))
}

// words draws a length.
func (p *prompter) words(random *rand.Rand) int {
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
