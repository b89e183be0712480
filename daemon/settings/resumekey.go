package settings

import (
	"encoding/hex"
	"fmt"
	"os"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/samphirequay/samphirequay/core/resume"
)

// MinSecretBytes is the minimum length of a resume key's secret, in bytes.
const MinSecretBytes = resume.MinSecretBytes

func (c *checker) resumeKeys(list []ResumeKey) {
	seen := make(map[int]bool)
	for i, k := range list {
		field := fmt.Sprintf("resume_keys[%d]", i)
		if seen[k.ID] {
			c.addFault(field+".id", "%d is used twice", k.ID)
		}
		seen[k.ID] = true
		if (k.SecretFile == "") == (k.SecretHex == "") {
			c.addFault(field, "needs exactly one of secret_file and secret_hex")
		}
		if k.SecretHex == "" {
			continue
		}
		if _, err := decodeSecret(k.SecretHex); err != nil {
			c.addFault(field+".secret_hex", "%v", err)
		}
	}
}

// Secret returns the secret, read from SecretFile if that is set.
func (k ResumeKey) Secret() ([]byte, error) {
	if k.SecretFile == "" {
		return decodeSecret(k.SecretHex)
	}
	text, err := os.ReadFile(k.SecretFile)
	if err != nil {
		return nil, eris.Wrapf(err, "settings: resume key %d", k.ID)
	}
	secret, err := decodeSecret(strings.TrimSpace(string(text)))
	if err != nil {
		return nil, eris.Wrapf(err, "settings: resume key %d in %s", k.ID, k.SecretFile)
	}
	return secret, nil
}

// decodeSecret decodes a secret in hex. Its errors never contain the text.
func decodeSecret(text string) ([]byte, error) {
	secret, err := hex.DecodeString(text)
	if err != nil {
		return nil, eris.New("is not hex")
	}
	if len(secret) < MinSecretBytes {
		return nil, eris.Errorf("is %d bytes long, must be at least %d", len(secret), MinSecretBytes)
	}
	return secret, nil
}
