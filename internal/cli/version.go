package cli

import "runtime/debug"

// unknownVersion is Version of a program that was linked without one.
const unknownVersion = "unknown"

// Version is set at link time.
var Version = unknownVersion

// Build returns what the running program was built from: Version or, if the program was linked without one, the revision that
// the Go tool recorded, with "-dirty" if the tree had other changes. It is "unknown" if neither was recorded.
func Build() string {
	info, _ := debug.ReadBuildInfo()
	return buildOf(Version, info)
}

// buildOf is Build for a version and the information on the build, which may be nil.
func buildOf(version string, info *debug.BuildInfo) string {
	if version != unknownVersion || info == nil {
		return version
	}
	revision, dirty := "", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			dirty = "-dirty"
		}
	}
	if revision == "" {
		return version
	}
	return revision + dirty
}
