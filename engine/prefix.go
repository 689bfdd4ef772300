package engine

import "github.com/cespare/xxhash/v2"

// prefixBytes is how much of a prompt names its cached prefix.
const prefixBytes = 256

// bytesPerToken is the mean length of a token of a prompt.
const bytesPerToken = 4

// Prefix names the cached prefix that a prompt to a model shares with others.
func Prefix(model, prompt string) uint64 {
	return xxhash.Sum64String(model + "\x00" + prompt[:min(len(prompt), prefixBytes)])
}

// PromptTokens estimates how many tokens a prompt has.
func PromptTokens(prompt string) int { return len(prompt)/bytesPerToken + 1 }
