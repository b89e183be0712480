package overload

import "time"

// SamplePool returns the replay of a pool of 14 engines, with 16 requests and
// 29,250 tokens of memory each, at 60% of its capacity. A KV cache transfer and
// the first token take 100 ms. The caller sets New.
func SamplePool(bursts ...Burst) Replay {
	return Replay{
		Load: Load{
			Length: 34 * time.Second, PerSecond: 13, Prompt: 3200, Output: 792, SizeDeviation: 0.5, MaxFactor: 2.2, GuessError: 0.5, Bursts: bursts,
		},
		Callers: Callers{
			Target: 900 * time.Millisecond, Patience: 3600 * time.Millisecond, Deadline: 14 * time.Second,
			Pause: 300 * time.Millisecond, Retries: 1, WaitShare: 1.0 / 3,
		},
		Engines: Engines{
			Prefills: 3, Decodes: 11, Batch: 16, Memory: 29250, Step: 3410 * time.Microsecond, StepEach: 97 * time.Microsecond,
			PrefillRate: 33333, Transfer: 100 * time.Millisecond,
		},
	}
}

// UsualBursts returns bursts that the pool of SamplePool can serve in time.
func UsualBursts() []Burst {
	return []Burst{
		{At: 6 * time.Second, For: 5 * time.Second, Factor: 1.5},
		{At: 27 * time.Second, For: 4 * time.Second, Factor: 1.5},
	}
}
