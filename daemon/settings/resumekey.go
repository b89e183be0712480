package settings

import (
	"encoding/hex"
	"fmt"
	"os"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/samphirequay/samphirequay/core/resume"
)

// MinSecretBytes is the least length of a resume key's secret.
const MinSecretBytes = resume.MinSecretBytes

func (c *checker) resumeKeys(list []ResumeKey) {
	seen := make(map[int]bool)
	for i, k := range list {
		field := fmt.Sprintf("resume_keys[%d]", i)
		if seen[k.ID] {
			c.fault(field+".id", "%d stands twice", k.ID)
		}
		seen[k.ID] = true
		if (k.SecretFile == "") == (k.SecretHex == "") {
			c.fault(field, "wants exactly one of secret_file and secret_hex")
		}
		if k.SecretHex == "" {
			continue
		}
		if _, err := decodeSecret(k.SecretHex); err != nil {
			c.fault(field+".secret_hex", "%v", err)
		}
	}
}

// Secret returns the secret, reading its file where it stands in one.
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

// decodeSecret never puts the text into its errors.
func decodeSecret(text string) ([]byte, error) {
	secret, err := hex.DecodeString(text)
	if err != nil {
		return nil, eris.New("is not hex")
	}
	if len(secret) < MinSecretBytes {
		return nil, eris.Errorf("is %d bytes long, the least is %d", len(secret), MinSecretBytes)
	}
	return secret, nil
}
