package quarantine

// Copies records where copies of a request run that have produced no output yet. A
// router sends further copies to the same endpoint, so that a request that crashes
// engines takes down one engine with all copies that are sent at the same moment. It is
// not safe for concurrent use.
type Copies struct {
	// running holds the number of copies by endpoint, by fingerprint.
	running map[uint64]map[string]int
}

// NewCopies returns an empty record.
func NewCopies() *Copies { return &Copies{running: map[uint64]map[string]int{}} }

// Start records that a copy starts at an endpoint.
func (c *Copies) Start(fingerprint uint64, endpoint string) {
	if c.running[fingerprint] == nil {
		c.running[fingerprint] = map[string]int{}
	}
	c.running[fingerprint][endpoint]++
}

// End records that a copy produced output or ended.
func (c *Copies) End(fingerprint uint64, endpoint string) {
	endpoints := c.running[fingerprint]
	if endpoints[endpoint] > 1 {
		endpoints[endpoint]--
		return
	}
	delete(endpoints, endpoint)
	if len(endpoints) == 0 {
		delete(c.running, fingerprint)
	}
}

// Endpoint returns the endpoint at which most copies run, or "" if none runs.
func (c *Copies) Endpoint(fingerprint uint64) string {
	best := ""
	for endpoint, n := range c.running[fingerprint] {
		if m := c.running[fingerprint][best]; n > m || n == m && endpoint < best {
			best = endpoint
		}
	}
	return best
}

// Len returns the number of fingerprints with running copies.
func (c *Copies) Len() int { return len(c.running) }
