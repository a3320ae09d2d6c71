package config

import (
	"path"
	"strconv"
	"strings"

	"irispost/internal/front"
	"irispost/internal/gateway"
	"irispost/scheduler"
)

// maxNameBytes bounds a volume's name, which is a folder's.
const maxNameBytes = 255

func (d *decoder) volumes(blocks *gatewayFile, config *Config) {
	serviceLevels := map[string]int{} // index by name
	for i, block := range blocks.ServiceLevels {
		serviceLevels[block.Name] = i
	}
	names := map[int64]string{} // by volume ID
	for _, block := range blocks.Volumes {
		volume := d.volume(&block, config)
		if other, duplicate := names[volume.ID]; duplicate {
			d.reject(block.ID.Range(), "Id twice", "Volume %q has the id %d already.", other, volume.ID)
		}
		names[volume.ID] = block.Name
		if i, known := serviceLevels[volume.ServiceLevel]; !known {
			d.reject(block.ServiceLevel.Range(), "No such plan", "There is no plan %q.", volume.ServiceLevel)
		} else if limit, limited := rateLimit(config.Settings, i); limited {
			config.VolumeLimits[volume.ID] = limit
		}
		d.volumeRules(&block, volume, config)
		config.Volumes[block.Name] = volume
	}
	if len(blocks.Volumes) == 0 {
		d.reject(blocks.Gateway.Range, "No volume", "At least one volume block is needed.")
	}
}

func (d *decoder) volume(block *volumeBlock, config *Config) *front.Volume {
	name := block.Name
	if config.Volumes[name] != nil {
		d.reject(block.Range, "Volume twice", "There is a volume %q already.", name)
	}
	reserved := name == "" || name == "." || name == ".."
	if reserved || strings.ContainsAny(name, "/\x00") || len(name) > maxNameBytes {
		d.reject(block.Range, "Bad name", "A volume's name is a folder's name: not empty, without slash, at most %d bytes.",
			maxNameBytes)
	}
	return &front.Volume{Name: name, Volume: gateway.Volume{
		ID:           int64(d.count(block.ID, 0, 1<<31, 0)),
		ServiceLevel: d.text(block.ServiceLevel, ""),
		GatewayCount: d.number(block.GatewayCount, 1, 1e6, 1),
	}}
}

// rateLimit is the token bucket of the service level at an index. A setting that is no number was rejected before.
func rateLimit(settings scheduler.Settings, index int) (limit RateLimit, limited bool) {
	number := func(value string) float64 {
		n, _ := strconv.ParseFloat(settings[serviceLevelKey(index, value)], 64)
		return n
	}
	limit = RateLimit{Rate: number("limit"), Burst: number("burst"), Slack: number("slack")}
	return limit, limit.Rate > 0
}

// volumeRules reads which requests of a volume are of which class. Each operation has a rule that fits all of its
// requests.
func (d *decoder) volumeRules(block *volumeBlock, volume *front.Volume, config *Config) {
	covered := map[front.OperationKind]bool{}
	for _, rule := range block.Rules {
		d.volumeRule(&rule, volume, config, covered)
	}
	for _, operation := range []front.OperationKind{front.Read, front.Write, front.Lookup, front.Change} {
		if !covered[operation] {
			d.reject(block.Range, "Operations without a product",
				"Volume %q has no product block for %q without match and larger.", block.Name, operation)
		}
	}
}

func (d *decoder) volumeRule(
	block *volumeRuleBlock, volume *front.Volume, config *Config, covered map[front.OperationKind]bool,
) {
	class := config.RequestClasses[block.RequestClass]
	if class == nil {
		d.reject(block.Range, "No such product", "There is no product %q.", block.RequestClass)
		return
	}
	rule := front.Rule{Match: block.Match, LargerThan: uint64(d.bytes(block.LargerThan, 0, 1<<40, 0)), Class: &class.RequestClass}
	if _, err := path.Match(block.Match, "x"); err != nil {
		d.reject(block.Range, "Bad pattern", "%q: %v.", block.Match, err)
	}
	for _, word := range block.Operations {
		operation := front.OperationKind(word)
		d.checkIdempotency(block, operation, class, config)
		if rule.Match == "" && rule.LargerThan == 0 {
			covered[operation] = true
		}
		rule.Kinds = append(rule.Kinds, operation)
	}
	volume.Rules = append(volume.Rules, rule)
}

// checkIdempotency rejects a class that promises another effect of repeats than the operation has.
func (d *decoder) checkIdempotency(block *volumeRuleBlock, operation front.OperationKind, class *RequestClass, config *Config) {
	const summary = "Kind does not fit"
	idempotency := scheduler.Idempotency(class.Idempotency)
	switch operation {
	case front.Read, front.Lookup:
		if idempotency != scheduler.Idempotent {
			d.reject(block.Range, summary,
				"%q operations change nothing, so product %q has to be replayable.", operation, class.Name)
		}
	case front.Write:
		if idempotency != scheduler.Idempotent || !class.Ordered {
			d.reject(block.Range, summary,
				"%q operations put bytes at their place: product %q has to be replayable and in_turn, "+
					"so that an old write never comes after a new one.", operation, class.Name)
		}
	case front.Change:
		if idempotency != scheduler.IdempotencyKeyed || config.dedupScope(class.Name) != wordDedupSameShard {
			d.reject(block.Range, summary,
				"%q operations change a record at its home shard: product %q has to be referenced "+
					"with group \"shard\".", operation, class.Name)
		}
	default:
		d.reject(block.Range, "No such operation",
			"Operations are \"read\", \"write\", \"look\" and \"change\", not %q.", operation)
	}
}
