package scale

import "irispost/internal/fleet/client"

// forms is how many forms of asks this build's followers know. With one there is no form before, and the case of both beside each other is
// told as not run.
const forms = 2

// formBefore has a follower ask in the form of the build before. It is the one place that has to know how that is said in its options.
func formBefore(o *client.Options) { o.FullVersions = true }

// bothForms has every second gateway ask in the form of the build before, and makes changes.
func bothForms(f *Fleet, r *Result) error {
	r.Figures["forms"] = forms
	if forms < 2 {
		r.NotRun = "this build's followers know one form of asks: there is none before it"
		return nil
	}
	for i, h := range f.Gateways {
		h.before = i%2 == 1
	}
	f.kill(f.Gateways)
	if err := f.start(f.Gateways); err != nil {
		return err
	}
	for i := range f.Size.ChangesPerFault + 1 {
		c, err := f.propose("a change for both forms", tune)
		if err != nil {
			return err
		}
		if h := f.flawed(); i == 0 {
			h.lost.Store(c.Version)
		}
		if list := f.await(c.Version, nobody); len(list) > 0 {
			r.Violations = append(r.Violations, list...)
			return nil
		}
	}
	r.ends(f, 0)
	return nil
}
