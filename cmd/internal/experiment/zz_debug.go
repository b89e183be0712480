package experiment

import (
	"io"
	"os"
)

func debugLog(a *attemptLog, name string) io.Writer {
	dir := os.Getenv("DEBUG_LOGS")
	if dir == "" {
		return a
	}
	f, _ := os.Create(dir + "/" + name + ".log")
	return io.MultiWriter(a, f)
}

func debugCases() []faultCase {
	only := os.Getenv("DEBUG_CASE")
	if only == "" {
		return faultCases()
	}
	var out []faultCase
	for _, c := range faultCases() {
		if c.name == only {
			out = append(out, c)
		}
	}
	return out
}
