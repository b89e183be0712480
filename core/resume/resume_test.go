package resume

import (
	"bytes"
	"encoding/base64"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
)

var wall = time.Unix(1_000_000, 0)

func key(number uint8) Key {
	return Key{ID: number, Secret: bytes.Repeat([]byte{number}, MinSecretBytes)}
}

func sample() Token {
	return Token{
		Team: "bunker", Service: "summaries", Request: "r", Attempt: "a", Endpoint: "e", Incarnation: 3,
		Seq: 7, RequestHash: HashRequest("prompt", 16), ExpiresUnix: wall.Unix() + 60,
	}
}

func TestVerify(t *testing.T) {
	is := is.New(t)
	k, err := NewKeyring(key(1))
	is.NoErr(err)
	token, err := k.Sign(sample())
	is.NoErr(err)
	got, err := k.Verify(token, "bunker", wall)
	is.NoErr(err)
	is.Equal(got, sample())

	_, err = k.Verify(token, "xelaju", wall)
	is.True(errors.Is(err, ErrWrongTeam))
	_, err = k.Verify(token, "bunker", wall.Add(time.Minute))
	is.True(errors.Is(err, ErrExpired))
	for _, junk := range []string{"", "!", token[:20], strings.Repeat("A", MaxTokenBytes+1), token + "\n"} {
		_, err = k.Verify(junk, "bunker", wall)
		is.True(errors.Is(err, ErrMalformed))
	}
	raw, err := base64.RawURLEncoding.DecodeString(token)
	is.NoErr(err)
	for i := range raw {
		raw[i] ^= 1
		_, err = k.Verify(base64.RawURLEncoding.EncodeToString(raw), "bunker", wall)
		is.True(errors.Is(err, ErrBadSignature))
		raw[i] ^= 1
	}
}

func TestRotation(t *testing.T) {
	is := is.New(t)
	before, err := NewKeyring(key(1), key(2))
	is.NoErr(err)
	during, err := NewKeyring(key(2), key(1))
	is.NoErr(err)
	after, err := NewKeyring(key(2))
	is.NoErr(err)
	old, err := before.Sign(sample())
	is.NoErr(err)
	fresh, err := during.Sign(sample())
	is.NoErr(err)
	for _, k := range []*Keyring{before, during} {
		for _, token := range []string{old, fresh} {
			_, err = k.Verify(token, "bunker", wall)
			is.NoErr(err)
		}
	}
	_, err = after.Verify(old, "bunker", wall)
	is.True(errors.Is(err, ErrBadSignature))
	_, err = NewKeyring(key(1), key(1))
	is.True(err != nil)
	_, err = NewKeyring(Key{ID: 1, Secret: []byte("short")})
	is.True(err != nil)
}

func TestSignBoundsFields(t *testing.T) {
	is := is.New(t)
	k, err := NewKeyring(key(1))
	is.NoErr(err)
	empty, long, negative := sample(), sample(), sample()
	empty.Endpoint = ""
	long.Team = id.Team(strings.Repeat("x", maxNameBytes+1))
	negative.Seq = -1
	for _, bad := range []Token{empty, long, negative} {
		_, err = k.Sign(bad)
		is.True(errors.Is(err, ErrMalformed))
	}
	most := sample()
	most.Team = id.Team(strings.Repeat("x", maxNameBytes))
	most.Service = id.Service(most.Team)
	most.Request = string(most.Team)
	_, err = k.Sign(most)
	is.NoErr(err)
	is.True(HashRequest("1", 2) != HashRequest("12", 0))
	var pieces TextHasher
	is.Equal(pieces.Sum(), HashText(""))
	pieces.Add("one ")
	pieces.Add("two")
	is.Equal(pieces.Sum(), HashText("one two"))
}

// FuzzVerify checks that Verify returns either a typed error or a token that the
// keyring signed for the given team.
func FuzzVerify(f *testing.F) {
	k, err := NewKeyring(key(1), key(2))
	if err != nil {
		f.Fatal(err)
	}
	good, err := k.Sign(sample())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good, "bunker")
	f.Add(good, "xelaju")
	f.Add(good[:len(good)-4], "bunker")
	f.Add("", "")
	f.Add(base64.RawURLEncoding.EncodeToString(make([]byte, envelopeBytes+1)), "bunker")
	f.Add(base64.RawURLEncoding.EncodeToString(append([]byte{2}, make([]byte, 80)...)), "bunker")
	f.Fuzz(func(t *testing.T, token, team string) {
		got, err := k.Verify(token, id.Team(team), wall)
		if err == nil {
			if token != good || string(got.Team) != team {
				t.Fatalf("token not signed for team %q was accepted: %q", team, token)
			}
			return
		}
		var typed *Error
		if !errors.As(err, &typed) {
			t.Fatalf("error %v is not an *Error", err)
		}
	})
}
