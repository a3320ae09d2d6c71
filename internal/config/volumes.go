package config

import (
	"path"
	"strconv"
	"strings"

	"irispost/internal/front"
	"irispost/internal/gateway"
	"irispost/scheduler"
)

// maxNameBytes is the longest name of a volume, which is the name of a folder.
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
			d.reject(block.ID.Range(), "Duplicate volume id", "Volume %q already has the id %d.", other, volume.ID)
		}
		names[volume.ID] = block.Name
		if i, known := serviceLevels[volume.ServiceLevel]; !known {
			d.reject(block.ServiceLevel.Range(), "Unknown plan", "There is no plan %q.", volume.ServiceLevel)
		} else if limit, limited := rateLimit(config.Settings, i); limited {
			config.VolumeLimits[volume.ID] = limit
		}
		d.volumeRules(&block, volume, config)
		config.Volumes[block.Name] = volume
	}
	if len(blocks.Volumes) == 0 {
		d.reject(blocks.Gateway.Range, "No volumes", "At least one volume block is required.")
	}
}

func (d *decoder) volume(block *volumeBlock, config *Config) *front.Volume {
	name := block.Name
	if config.Volumes[name] != nil {
		d.reject(block.Range, "Duplicate volume", "A volume %q is already defined.", name)
	}
	reserved := name == "" || name == "." || name == ".."
	if reserved || strings.ContainsAny(name, "/\x00") || len(name) > maxNameBytes {
		d.reject(block.Range, "Invalid volume name", "The name must be a folder name: not empty, no slash, at most %d bytes.",
			maxNameBytes)
	}
	return &front.Volume{Name: name, Volume: gateway.Volume{
		ID:           int64(d.count(block.ID, 0, 1<<31, 0)),
		ServiceLevel: d.text(block.ServiceLevel, ""),
		GatewayCount: d.number(block.GatewayCount, 1, 1e6, 1),
	}}
}

// rateLimit returns the token bucket of the service level at index. Settings that are not numbers have been rejected
// before.
func rateLimit(settings scheduler.Settings, index int) (limit RateLimit, limited bool) {
	number := func(value string) float64 {
		n, _ := strconv.ParseFloat(settings[serviceLevelKey(index, value)], 64)
		return n
	}
	limit = RateLimit{Rate: number("limit"), Burst: number("burst"), Slack: number("slack")}
	return limit, limit.Rate > 0
}

// volumeRules reads the rules that assign a volume's requests to request classes. Each operation needs a rule that
// matches all of its requests.
func (d *decoder) volumeRules(block *volumeBlock, volume *front.Volume, config *Config) {
	covered := map[front.OperationKind]bool{}
	for _, rule := range block.Rules {
		d.volumeRule(&rule, volume, config, covered)
	}
	for _, operation := range []front.OperationKind{front.Read, front.Write, front.Lookup, front.Change} {
		if !covered[operation] {
			d.reject(block.Range, "Operation without a product",
				"Volume %q needs a product block for %q without match and larger.", block.Name, operation)
		}
	}
}

func (d *decoder) volumeRule(
	block *volumeRuleBlock, volume *front.Volume, config *Config, covered map[front.OperationKind]bool,
) {
	class := config.RequestClasses[block.RequestClass]
	if class == nil {
		d.reject(block.Range, "Unknown product", "There is no product %q.", block.RequestClass)
		return
	}
	rule := front.Rule{Match: block.Match, LargerThan: uint64(d.bytes(block.LargerThan, 0, 1<<40, 0)), Class: &class.RequestClass}
	if _, err := path.Match(block.Match, "x"); err != nil {
		d.reject(block.Range, "Invalid pattern", "%q: %v.", block.Match, err)
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

// checkIdempotency rejects a request class whose idempotency, ordering or dedup scope does not fit the operation, so
// that a repeat would not have the effect that the class promises.
func (d *decoder) checkIdempotency(block *volumeRuleBlock, operation front.OperationKind, class *RequestClass, config *Config) {
	const summary = "Wrong kind of product"
	idempotency := scheduler.Idempotency(class.Idempotency)
	switch operation {
	case front.Read, front.Lookup:
		if idempotency != scheduler.Idempotent {
			d.reject(block.Range, summary,
				"%q operations change nothing, so product %q must be replayable.", operation, class.Name)
		}
	case front.Write:
		if idempotency != scheduler.Idempotent || !class.Ordered {
			d.reject(block.Range, summary,
				"%q operations write bytes at a fixed offset, so product %q must be replayable and in_turn: "+
					"otherwise an old write could overwrite a newer one.", operation, class.Name)
		}
	case front.Change:
		if idempotency != scheduler.IdempotencyKeyed || config.dedupScope(class.Name) != wordDedupSameShard {
			d.reject(block.Range, summary,
				"%q operations change a record at its home shard, so product %q must be referenced "+
					"with group \"shard\".", operation, class.Name)
		}
	default:
		d.reject(block.Range, "Unknown operation",
			"Operations are \"read\", \"write\", \"look\" and \"change\", not %q.", operation)
	}
}
