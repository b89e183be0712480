package fleet

// EngineTotals holds sums of the counters of a fleet's engines.
type EngineTotals struct {
	PrefillTokens int64 `json:"prefill_tokens"`
	WastedTokens  int64 `json:"wasted_tokens"`
	// RanTwice counts decodes of a request that the same engine had decoded before.
	RanTwice int64 `json:"ran_twice"`
	// HeldAfterCancel is the number of decode slots that cancelled requests hold now.
	HeldAfterCancel int `json:"held_after_cancel"`
	// Running and KVHeld are the numbers of requests and KV caches that the engines
	// hold now.
	Running int `json:"running"`
	KVHeld  int `json:"kv_held"`
}

// EngineTotals returns the current sums.
func (f *Fleet) EngineTotals() EngineTotals {
	var t EngineTotals
	for _, p := range f.platforms {
		for _, e := range p.Engines {
			c := e.Counters()
			t.PrefillTokens += c.PrefillTokens
			t.WastedTokens += c.PrefillTokensWasted
			t.RanTwice += c.RepeatedDecodes
			t.HeldAfterCancel += c.HeldAfterCancel
			t.Running += c.Running
			t.KVHeld += c.KVHeld
		}
	}
	return t
}

// Since returns the sums with the counts of an earlier snapshot subtracted; the
// numbers held now stay as they are.
func (t EngineTotals) Since(earlier EngineTotals) EngineTotals {
	t.PrefillTokens -= earlier.PrefillTokens
	t.WastedTokens -= earlier.WastedTokens
	t.RanTwice -= earlier.RanTwice
	return t
}

// WastedShare returns the share of the prefill tokens that were wasted, 0 to 1.
func (t EngineTotals) WastedShare() float64 {
	if t.PrefillTokens == 0 {
		return 0
	}
	return float64(t.WastedTokens) / float64(t.PrefillTokens)
}

// PlainRuns returns how often the plain services ran each idempotency key.
func (f *Fleet) PlainRuns() map[string]int {
	runs := map[string]int{}
	for _, p := range f.platforms {
		for _, s := range p.Plains {
			for _, k := range s.Counters().Keys {
				runs[k.Name] += k.Runs
			}
		}
	}
	return runs
}
