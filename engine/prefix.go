package engine

import "github.com/cespare/xxhash/v2"

// prefixBytes is the length of the start of a prompt that identifies its cached prefix.
const prefixBytes = 256

// bytesPerToken is the mean length of a prompt's token.
const bytesPerToken = 4

// PrefixHash returns the hash of the cached prefix that a prompt for a model shares with others.
func PrefixHash(model, prompt string) uint64 {
	return xxhash.Sum64String(model + "\x00" + prompt[:min(len(prompt), prefixBytes)])
}

// EstimatePromptTokens estimates the number of tokens of a prompt from its length.
func EstimatePromptTokens(prompt string) int { return len(prompt)/bytesPerToken + 1 }
