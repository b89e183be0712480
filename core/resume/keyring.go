package resume

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"strings"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
)

// MinSecretBytes is the shortest secret that a key may have.
const MinSecretBytes = 32

// envelopeBytes is the number of bytes before the body: key id and signature.
const envelopeBytes = 1 + sha256.Size

// Reason is the cause of a token's rejection.
type Reason string

// The reasons of an Error.
const (
	ReasonMalformed    Reason = "malformed"
	ReasonBadSignature Reason = "bad_signature"
	ReasonWrongTeam    Reason = "wrong_team"
	ReasonExpired      Reason = "expired"
)

// Error is the error of a rejected token.
type Error struct {
	// Reason of the rejection.
	Reason Reason
	// Detail for a human reader; it never contains another team's data.
	Detail string
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("resume token %s: %s", e.Reason, e.Detail) }

// Is lets errors.Is compare errors by reason.
func (e *Error) Is(target error) bool {
	other, ok := target.(*Error)
	return ok && other.Reason == e.Reason
}

// Targets for errors.Is.
var (
	ErrMalformed    = &Error{Reason: ReasonMalformed}
	ErrBadSignature = &Error{Reason: ReasonBadSignature}
	ErrWrongTeam    = &Error{Reason: ReasonWrongTeam}
	ErrExpired      = &Error{Reason: ReasonExpired}
)

// Key is a secret with its id.
type Key struct {
	// ID identifies the key during a rotation.
	ID uint8
	// Secret has at least MinSecretBytes bytes.
	Secret []byte
}

// Keyring signs with one key and accepts signatures of several. It is immutable: a
// rotation creates new keyrings. A rotation first adds the new key to the accepted
// keys of all daemons, then signs with it, and removes the old key once the maximum
// lifetime of a token has passed.
type Keyring struct {
	signing Key
	secrets map[uint8][]byte
}

// NewKeyring returns a keyring that signs with signing and accepts it and others.
func NewKeyring(signing Key, others ...Key) (*Keyring, error) {
	k := &Keyring{signing: signing, secrets: make(map[uint8][]byte, len(others)+1)}
	for _, key := range append([]Key{signing}, others...) {
		if len(key.Secret) < MinSecretBytes {
			return nil, fmt.Errorf("resume key %d has %d bytes, want %d or more", key.ID, len(key.Secret), MinSecretBytes)
		}
		if _, duplicate := k.secrets[key.ID]; duplicate {
			return nil, fmt.Errorf("resume key %d is given twice", key.ID)
		}
		k.secrets[key.ID] = key.Secret
	}
	return k, nil
}

// Sign encodes a token: base64url of key id, HMAC-SHA256 and CBOR body.
func (k *Keyring) Sign(t Token) (string, error) {
	if err := t.validate(); err != nil {
		return "", &Error{Reason: ReasonMalformed, Detail: err.Error()}
	}
	body, err := encoder.Marshal(t)
	if err != nil {
		return "", &Error{Reason: ReasonMalformed, Detail: err.Error()}
	}
	raw := make([]byte, 0, envelopeBytes+len(body))
	raw = append(raw, k.signing.ID)
	raw = append(raw, mac(k.signing.Secret, k.signing.ID, body)...)
	raw = append(raw, body...)
	out := base64.RawURLEncoding.EncodeToString(raw)
	if len(out) > MaxTokenBytes {
		return "", &Error{Reason: ReasonMalformed, Detail: "too long"}
	}
	return out, nil
}

// Verify checks a token that a caller of the given team sent at the given wall
// time, and returns its content. The error is always an *Error.
func (k *Keyring) Verify(token string, team id.Team, wall time.Time) (Token, error) {
	body, err := k.openEnvelope(token)
	if err != nil {
		return Token{}, err
	}
	var t Token
	if err := decoder.Unmarshal(body, &t); err != nil {
		return Token{}, &Error{Reason: ReasonMalformed, Detail: "body is not a token"}
	}
	if err := t.validate(); err != nil {
		return Token{}, &Error{Reason: ReasonMalformed, Detail: err.Error()}
	}
	if t.Team != team {
		return Token{}, &Error{Reason: ReasonWrongTeam, Detail: "it belongs to another team"}
	}
	if t.Expired(wall) {
		return Token{}, &Error{Reason: ReasonExpired, Detail: "its time is over"}
	}
	return t, nil
}

// openEnvelope verifies the envelope and returns the body, which is not decoded
// before its signature has been checked.
func (k *Keyring) openEnvelope(token string) ([]byte, error) {
	if len(token) > MaxTokenBytes {
		return nil, &Error{Reason: ReasonMalformed, Detail: "too long"}
	}
	if strings.ContainsAny(token, "\r\n") {
		// The base64 decoder ignores line breaks, so one token would have several
		// encodings.
		return nil, &Error{Reason: ReasonMalformed, Detail: "has a line break"}
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(token)
	if err != nil || len(raw) <= envelopeBytes {
		return nil, &Error{Reason: ReasonMalformed, Detail: "not an encoded token"}
	}
	keyID, sum, body := raw[0], raw[1:envelopeBytes], raw[envelopeBytes:]
	secret, ok := k.secrets[keyID]
	if !ok {
		return nil, &Error{Reason: ReasonBadSignature, Detail: fmt.Sprintf("key %d is not in use", keyID)}
	}
	if !hmac.Equal(sum, mac(secret, keyID, body)) {
		return nil, &Error{Reason: ReasonBadSignature, Detail: "signature does not match"}
	}
	return body, nil
}

func mac(secret []byte, keyID uint8, body []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte{keyID})
	h.Write(body)
	return h.Sum(nil)
}
