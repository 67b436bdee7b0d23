package fleet

// PromptPart is a contiguous piece of a prompt, such as a system prompt, that other
// requests may share.
type PromptPart struct {
	// ID identifies the content of the part.
	ID     uint64
	Tokens int
}

// Prompt describes the prompt of a model request as declared by the caller.
type Prompt struct {
	Model string
	// Tokens is the number of tokens of the whole prompt.
	Tokens int
	// MaxOutputTokens is the maximum number of tokens to generate.
	MaxOutputTokens int
	// OutputTokensHint is the caller's estimate of the number of tokens to generate, or 0 if
	// it gave none. Half of the estimates are too low, and many are far off.
	OutputTokensHint int
	// Parts are the pieces of the prompt in order. The last one is specific to the
	// request or its session; the others may be shared.
	Parts []PromptPart
}

// SharedParts returns all parts except the last one.
func (p *Prompt) SharedParts() []PromptPart { return p.Parts[:max(0, len(p.Parts)-1)] }

// SharedTokens returns the number of tokens of all parts except the last one.
func (p *Prompt) SharedTokens() int {
	n := 0
	for _, part := range p.SharedParts() {
		n += part.Tokens
	}
	return n
}
