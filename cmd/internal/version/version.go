// Package version describes the build of the running binary.
package version

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

// Number is the version of this source tree.
const Number = "0.1.0"

// Info describes a build.
type Info struct {
	Version  string `json:"version"`
	Revision string `json:"revision"`
	Modified bool   `json:"modified"`
	Go       string `json:"go"`
}

// Read returns the description of the running build.
func Read() Info {
	info := Info{Version: Number, Revision: "unknown", Go: runtime.Version()}
	build, ok := debug.ReadBuildInfo()
	if !ok {
		return info
	}
	for _, s := range build.Settings {
		switch s.Key {
		case "vcs.revision":
			info.Revision = s.Value
		case "vcs.modified":
			info.Modified = s.Value == "true"
		}
	}
	return info
}

// Line formats the description as one line for a binary.
func (i Info) Line(binary string) string {
	return fmt.Sprintf("%s version=%s revision=%s modified=%t go=%s", binary, i.Version, i.Revision, i.Modified, i.Go)
}
