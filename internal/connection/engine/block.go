package engine

import (
	"strings"

	"github.com/zeebo/xxh3"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// BlockTokens is the number of tokens in one block of a cached prefix.
const BlockTokens unit.Tokens = 32

// CountTokens estimates the number of tokens in text as its number of words.
func CountTokens(text string) unit.Tokens {
	count, inWord := unit.Tokens(0), false
	for i := range len(text) {
		space := text[i] == ' ' || text[i] == '\n' || text[i] == '\t'
		if !space && !inWord {
			count++
		}
		inWord = !space
	}
	return count
}

// HashBlocks returns the hashes of the prompt's full blocks. Each hash covers the
// organisation and all text up to the end of the block, so that two prompts share
// a block only if they share all text before it, and organisations share none.
func HashBlocks(organisation identity.Organisation, prompt string) []Block {
	hash := xxh3.HashString(string(organisation))
	var blocks []Block
	rest := prompt
	for {
		end := blockEnd(rest)
		if end < 0 {
			return blocks
		}
		hash = xxh3.HashStringSeed(rest[:end], hash)
		blocks = append(blocks, Block(hash))
		rest = rest[end:]
	}
}

// blockEnd returns the index after the first BlockTokens words, or -1 if text has
// fewer. Only spaces separate these words, unlike those of CountTokens.
func blockEnd(text string) int {
	position := 0
	for range BlockTokens {
		for position < len(text) && text[position] == ' ' {
			position++
		}
		if position == len(text) {
			return -1
		}
		next := strings.IndexByte(text[position:], ' ')
		if next < 0 {
			position = len(text)
			continue
		}
		position += next
	}
	return position
}
