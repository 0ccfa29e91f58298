// Package token generates the tokens of an engine stand-in's answers. They depend on the prompt and
// the position only, so a caller can check whether an answer belongs to its own prompt.
package token

import (
	"encoding/binary"
	"encoding/hex"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Length is the number of characters of a generated token.
const Length = 8

// Make returns the token at index, counted from 0, of the answer to prompt.
func Make(prompt string, index int) string {
	sum := xxhash.Sum64String(prompt + strconv.Itoa(index))
	var raw [8]byte
	binary.BigEndian.PutUint64(raw[:], sum)
	return hex.EncodeToString(raw[:])[:Length]
}

// MakeText returns the text of a complete answer of count tokens.
func MakeText(prompt string, count int) string {
	var text strings.Builder
	text.Grow(count * Length)
	for i := range count {
		text.WriteString(Make(prompt, i))
	}
	return text.String()
}

// Count returns the number of tokens of a prompt; each word counts as one token.
func Count(prompt string) int {
	return len(strings.Fields(prompt))
}

// BlockTokens is the number of tokens of a block in the prefix cache.
const BlockTokens = 16

// Blocks returns the IDs of the full blocks of a prompt. An ID is a digest of all tokens up to the
// end of its block, so equal IDs mean equal prefixes.
func Blocks(prompt string) []string {
	words := strings.Fields(prompt)
	blocks := make([]string, 0, len(words)/BlockTokens)
	digest := xxhash.New()
	for i, word := range words {
		_, _ = digest.WriteString(word)
		_, _ = digest.WriteString(" ")
		if (i+1)%BlockTokens == 0 {
			blocks = append(blocks, strconv.FormatUint(digest.Sum64(), 16))
		}
	}
	return blocks
}
