package scale

import "irispost/internal/fleet/client"

// renewalFormats is how many forms of renewals this build's clients know. With one there is no earlier form, and the
// case of both side by side is reported as not run.
const renewalFormats = 2

// usePreviousFormat makes a client send renewals in the form of the build before. It is the one place that knows how.
func usePreviousFormat(options *client.Options) { options.FullVersions = true }

// mixedRenewalFormats lets every second gateway use the form of the build before, and makes changes.
func mixedRenewalFormats(fleet *Fleet, result *Result) error {
	result.Figures["forms"] = renewalFormats
	if renewalFormats < 2 {
		result.NotRun = "this build's followers know one form of asks: there is none before it"
		return nil
	}
	for i, gateway := range fleet.Gateways {
		gateway.previousFormat = i%2 == 1
	}
	fleet.kill(fleet.Gateways)
	if err := fleet.start(fleet.Gateways); err != nil {
		return err
	}
	for i := range fleet.Size.ChangesPerFault + 1 {
		change, err := fleet.propose("a change for both forms", raiseRateLimit)
		if err != nil {
			return err
		}
		if i == 0 {
			fleet.defectiveGateway().defectVersion.Store(change.Version)
		}
		if laggards := fleet.awaitVersion(change.Version, noGateway); len(laggards) > 0 {
			result.Violations = append(result.Violations, laggards...)
			return nil
		}
	}
	result.checkEndState(fleet, 0)
	return nil
}
