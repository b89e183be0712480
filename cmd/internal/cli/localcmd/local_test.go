package localcmd

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/cmd/internal/cli/common"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/exit"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/output"
	"github.com/samphirequay/samphirequay/cmd/internal/experiment"
	"github.com/samphirequay/samphirequay/cmd/internal/fleet"
	"github.com/samphirequay/samphirequay/cmd/internal/load"
)

func TestLocalPrintsOneLine(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	cmd := Command(&common.Options{Output: output.Table})
	cmd.SetArgs([]string{"--requests=10", "--deployment=bunker"})
	cmd.SetOut(&out)
	is.NoErr(cmd.Execute())
	line := regexp.MustCompile(`^requests=10 answered=10 lost=0 doubled=0 wasted_prefill=\d+\.\d% ttft_p95=\d+ms pace_p95=\d+ms\n$`)
	is.True(line.MatchString(out.String()))
}

func TestMissingAnswersSetTheExitCode(t *testing.T) {
	is := is.New(t)
	cmd := Command(&common.Options{Output: output.Table})
	cmd.SetContext(t.Context())
	cmd.SetOut(io.Discard)
	res := &load.Result{}
	res.Total.Requests = 2
	res.Total.Answered = 1
	opts := &common.Options{Output: output.JSON}
	is.Equal(exit.Code(report(cmd, opts, res, fleet.EngineTotals{})), exit.Faults)
	res.Total.Answered = 2
	is.NoErr(report(cmd, opts, res, fleet.EngineTotals{}))
	res.Total.Doubled = 1
	is.Equal(exit.Code(report(cmd, opts, res, fleet.EngineTotals{})), exit.Faults)
}

func TestUnknownDeploymentIsWrongUsage(t *testing.T) {
	is := is.New(t)
	_, err := deploymentsByName("weather")
	is.Equal(exit.Code(err), exit.Usage)
}

// TestCurlLineRequestsACompletion sends the request of the printed curl command.
func TestCurlLineRequestsACompletion(t *testing.T) {
	is := is.New(t)
	d := experiment.Bunker()
	fleetTeams, loadTeams := d.Teams(1)
	fl, err := fleet.Start(t.Context(), fleet.Config{Sites: sitesOf([]experiment.Deployment{d}), Teams: fleetTeams})
	is.NoErr(err)
	defer fl.Close()
	line := curlLine(fl.CallerAddresses()[0], loadTeams[0])
	parts := regexp.MustCompile(`^curl -sN (\S+) -H '([^:]+): ([^']+)' -H '([^:]+): ([^']+)' -d '([^']+)'$`).FindStringSubmatch(line)
	is.Equal(len(parts), 7)
	is.True(json.Valid([]byte(parts[6])))
	req, err := http.NewRequest(http.MethodPost, parts[1], strings.NewReader(parts[6]))
	is.NoErr(err)
	req.Header.Set(parts[2], parts[3])
	req.Header.Set(parts[4], parts[5])
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.True(strings.HasSuffix(string(text), "data: [DONE]\n\n"))
}
