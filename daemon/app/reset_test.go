package app

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/standin"
)

// TestAnswerSurvivesAResetOfTheEngineConnection: the connection between daemon and
// engine is reset during an answer. The engine keeps generating, the daemon takes
// up the stream again, and the prompt is prefilled only once.
func TestAnswerSurvivesAResetOfTheEngineConnection(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 1, twoPerRole(), nil)
	f.slowEngines(4)
	const tokens = 40
	prompt := strings.Repeat("certificate of quality, flash point 71 C. ", 20)
	resp := f.startStream(f.daemons[0], prompt, tokens)
	defer resp.Body.Close()
	f.lastGranted(standin.RoleDecode).ResetConnections()
	text, _, ended := readSSE(t, resp, 0)
	is.True(ended)
	is.Equal(text, standin.Answer(prompt, tokens))
	is.True(strings.Contains(f.log.String(), "outcome=taken_up"))
	is.Equal(strings.Count(f.log.String(), "event=prefilled"), 1)
}
