package fleet

// Work holds sums of the counters of a fleet's engines.
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

// Work returns the current sums.
func (f *Fleet) EngineTotals() EngineTotals {
	var w EngineTotals
	for _, p := range f.platforms {
		for _, e := range p.Engines {
			c := e.Counters()
			w.PrefillTokens += c.PrefillTokens
			w.WastedTokens += c.PrefillTokensWasted
			w.RanTwice += c.RepeatedDecodes
			w.HeldAfterCancel += c.HeldAfterCancel
			w.Running += c.Running
			w.KVHeld += c.KVHeld
		}
	}
	return w
}

// Since returns the sums with the counts of an earlier snapshot subtracted; the
// numbers held now stay as they are.
func (w EngineTotals) Since(earlier EngineTotals) EngineTotals {
	w.PrefillTokens -= earlier.PrefillTokens
	w.WastedTokens -= earlier.WastedTokens
	w.RanTwice -= earlier.RanTwice
	return w
}

// WastedShare returns the share of the prefill tokens that were wasted, 0 to 1.
func (w EngineTotals) WastedShare() float64 {
	if w.PrefillTokens == 0 {
		return 0
	}
	return float64(w.WastedTokens) / float64(w.PrefillTokens)
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
