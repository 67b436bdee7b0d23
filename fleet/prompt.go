package fleet

// Part is one shared piece of a prompt.
type PromptPart struct {
	// ID identifies the content of the part.
	ID     uint64
	Tokens int
}

// Prompt is what a caller says about the prompt of a model request.
type Prompt struct {
	Model string
	// InputTokens is the length of the whole prompt.
	InputTokens int
	// MaxOutputTokens is the most tokens that the request may generate.
	MaxOutputTokens int
	// Parts are the pieces of the prompt in order; the last one belongs to the
	// request or its session alone.
	Parts []PromptPart
}

// SharedTokens returns the tokens of all parts but the last.
func (p *Prompt) SharedTokens() int {
	n := 0
	for _, part := range p.Parts[:max(0, len(p.Parts)-1)] {
		n += part.Tokens
	}
	return n
}
