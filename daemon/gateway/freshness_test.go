package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/freshness"
)

// TestReadsForUnknownKeysAreRateLimited checks that many requests with unknown keys
// cause only one read of the configuration per refreshInterval.
func TestReadsForUnknownKeysAreRateLimited(t *testing.T) {
	is := is.New(t)
	var c configFreshness
	reads := 0
	for at := time.Duration(0); at < time.Minute; at += time.Millisecond {
		if c.mayRefresh(at) {
			reads++
		}
	}
	is.Equal(reads, int(time.Minute/refreshInterval))
}

// TestProofIsForwardedUnchanged checks that a proof is forwarded with the version and
// time with which it was received, and only if its version is in force here.
func TestProofIsForwardedUnchanged(t *testing.T) {
	is := is.New(t)
	var c configFreshness
	is.Equal(c.proof(), nil)
	c.sample(0, time.Millisecond, time.Hour)
	c.setVersion(9)
	c.learn(2*time.Second, freshness.Proof{Version: 7, At: time.Hour + time.Second})
	is.Equal(*c.proof(), freshness.Proof{Version: 7, At: time.Hour + time.Second})
	age, ok := c.age(3 * time.Second)
	is.True(ok)
	is.True(age >= 2*time.Second && age < 2100*time.Millisecond)
	c.learn(3*time.Second, freshness.Proof{Version: 11, At: time.Hour + 2*time.Second})
	is.True(c.outdated()) // 11 is not in force here yet
	is.Equal(c.proof().Version, uint64(7))
}

// In an older copy of the store a key may be valid that the newest configuration has
// revoked: until the operator could write that again, the copy proves nothing.
func TestAnOlderCopyProvesNoConfiguration(t *testing.T) {
	is := is.New(t)
	var c configFreshness
	c.sample(0, time.Millisecond, time.Hour)
	c.setVersion(9)
	c.confirm(time.Second)
	c.hold(4 * time.Second)
	c.confirm(3 * time.Second)
	age, ok := c.age(5 * time.Second)
	is.True(ok)
	is.Equal(age, 4*time.Second)
	c.confirm(4 * time.Second)
	age, _ = c.age(5 * time.Second)
	is.Equal(age, time.Second)
}
