package overload

import "time"

// ScarcePool returns the replay of a pool of 60 engines, of which 40 decode with 29,292 tokens
// of memory each, under 50 requests a second of three kinds: the shorter a kind's target, the
// higher its priority and its worth. Each kind's callers retry once after the advised delay.
// The caller sets New.
func ScarcePool(bursts ...Burst) Replay {
	return Replay{
		Load: Load{
			Length: 34 * time.Second, PerSecond: 50, Prompt: 3200, Output: 792, SizeDeviation: 0.5, MaxFactor: 2.2, GuessError: 0.5, Bursts: bursts,
			Kinds: []Kind{
				{Share: 0.18, Priority: 5, Target: 800 * time.Millisecond, Worth: 24, LateWorth: 1.9},
				{Share: 0.55, Priority: 5, Target: time.Second, Worth: 13, LateWorth: 2.5},
				{Share: 0.27, Priority: 5, Target: 2 * time.Second, Worth: 6.3, LateWorth: 1.9},
			},
		},
		Callers: Callers{
			Patience: 4 * time.Second, Deadline: 14 * time.Second,
			Pause: 300 * time.Millisecond, Retries: 1, WaitShare: 1.0 / 3,
		},
		Engines: Engines{
			Prefills: 20, Decodes: 40, Batch: 64, Memory: 29292, Step: 3090 * time.Microsecond, StepEach: 250 * time.Microsecond,
			PrefillRate: 33333, Transfer: 100 * time.Millisecond,
		},
	}
}
