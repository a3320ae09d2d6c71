package serve

import (
	"log/slog"
	"path/filepath"

	"irispost/internal/config"
	"irispost/internal/endpoint/filesource"
	"irispost/internal/endpoint/manager"
	"irispost/internal/endpoint/xds"
)

// Kinds of endpoint sources, as named in the configuration.
const (
	sourceOwnFile = "own"      // a file in irispost's own format
	sourceXDSFile = "xds-file" // files with xDS resources
	sourceXDS     = "xds"      // an xDS management server
)

// endpointSources creates the configured sources of endpoint lists. The configuration has been validated, so every
// kind is known.
func endpointSources(conf *config.Config, baseDir string, logger *slog.Logger) []manager.NamedSource {
	var sources []manager.NamedSource
	for _, s := range conf.Sources {
		named := manager.NamedSource{Name: s.Name}
		switch s.Kind {
		case sourceOwnFile:
			named.Source = filesource.Source{Path: resolvePath(baseDir, s.File)}
		case sourceXDSFile:
			named.Source = xds.FileSource{
				Clusters:  resolvePath(baseDir, s.Clusters),
				Endpoints: resolvePath(baseDir, s.Endpoints),
				Log:       logger,
			}
		case sourceXDS:
			opt := s.XDS
			opt.Seed, opt.Log = conf.Seed, logger
			named.Source = xds.NewClient(opt)
		}
		sources = append(sources, named)
	}
	return sources
}

func resolvePath(baseDir, file string) string {
	if filepath.IsAbs(file) {
		return file
	}
	return filepath.Join(baseDir, file)
}
