package config

import (
	"strconv"
	"time"

	"github.com/hashicorp/hcl/v2"

	"irispost/scheduler"
)

// schedulingBlocks holds the blocks of scheduling settings that a gateway's file and a configuration version share.
type schedulingBlocks struct {
	SlowStart      *slowStartBlock
	Retries        *retriesBlock
	Attempts       *attemptsBlock
	Rejections     *rejectionsBlock
	KeyOrder       *keyOrderBlock
	ServiceLevels  []serviceLevelBlock
	RequestClasses []requestClassBlock
	Missing        hcl.Range // where a missing block is reported
}

func (f *gatewayFile) scheduling() schedulingBlocks {
	return schedulingBlocks{SlowStart: f.SlowStart, Retries: f.Retries, Attempts: f.Attempts, Rejections: f.Rejections,
		KeyOrder: f.KeyOrder, ServiceLevels: f.ServiceLevels, RequestClasses: f.RequestClasses, Missing: f.Gateway.Range}
}

// scheduling reads the settings of slow start, retries, attempts, rejections and key queues. Missing blocks have
// defaults, except that slow start and the retry budget are not in use without their blocks.
func (d *decoder) scheduling(blocks *schedulingBlocks, settings scheduler.Settings) {
	if block := blocks.SlowStart; block != nil {
		settings["cold.from"] = formatNumber(d.number(block.StartShare, 0.001, 1, 1))
		settings["cold.time"] = formatMillis(d.duration(block.Duration, 0, time.Hour, 0))
		settings["cold.multiple"] = formatNumber(d.number(block.Multiple, 0.1, 100, 2))
		settings["cold.window"] = formatMillis(d.duration(block.Window, time.Millisecond, time.Hour, time.Second))
		settings["cold.units"] = formatNumber(d.number(block.FreeUnits, 0, maxUnits, 0))
	}
	if block := blocks.Retries; block != nil {
		settings["further.window"] = formatMillis(d.duration(block.Window, time.Millisecond, time.Hour, time.Second))
		settings["further.free"] = formatNumber(d.number(block.FreeRetries, 0, maxUnits, 0))
		settings["further.share"] = formatNumber(d.number(block.Ratio, 0, 100, 0))
	}
	attempts := orEmpty(blocks.Attempts)
	settings["executions.most"] = strconv.Itoa(d.count(attempts.MaxAttempts, 1, 100, 3))
	settings["second_copies"] = formatFlag(attempts.Hedging)
	settings["calling_off"] = formatFlag(attempts.Cancelling)
	rejections := orEmpty(blocks.Rejections)
	settings["retry_after"] = formatFlag(rejections.RetryAfter)
	settings["retry_after.most"] = formatMillis(d.duration(rejections.MaxRetryAfter, 0, time.Hour, time.Second))
	keyOrder := orEmpty(blocks.KeyOrder)
	settings["key.rest"] = formatMillis(d.duration(keyOrder.BlockedTime, 0, time.Minute, 50*time.Millisecond))
}

// orEmpty returns a block, or an empty one if it is missing.
func orEmpty[Block any](block *Block) *Block {
	if block == nil {
		return new(Block)
	}
	return block
}

// serviceLevelKey returns the scheduler setting that holds a value of the service level at index.
func serviceLevelKey(index int, value string) string {
	return "plans." + strconv.Itoa(index) + "." + value
}

func (d *decoder) serviceLevels(blocks *schedulingBlocks, settings scheduler.Settings) {
	names := map[string]bool{}
	for i, block := range blocks.ServiceLevels {
		if names[block.Name] {
			d.reject(block.Range, "Duplicate plan", "A plan %q is already defined.", block.Name)
		}
		names[block.Name] = true
		set := func(name, value string) { settings[serviceLevelKey(i, name)] = value }
		set("name", block.Name)
		set("weight", formatNumber(d.number(block.Weight, 1e-3, 1e6, 1)))
		set("rate", formatNumber(d.number(block.NominalRate, 0, maxUnits, 0)))
		set("reserve", formatNumber(d.number(block.Reserve, 0, maxUnits, 0)))
		limit := d.number(block.RateLimit, 0, maxUnits, 0)
		set("limit", formatNumber(limit))
		set("burst", formatNumber(d.number(block.Burst, 0, maxUnits, limit)))
		set("slack", formatNumber(d.number(block.Slack, 0, maxUnits, 0)))
	}
	settings["plans.count"] = strconv.Itoa(len(blocks.ServiceLevels))
	if len(blocks.ServiceLevels) == 0 {
		d.reject(blocks.Missing, "No plans", "At least one plan block is required.")
	}
}

// The values of a request class's idempotency and dedup scope in the file and in the scheduler's settings.
const (
	wordIdempotent    = "replayable"
	wordKeyed         = "referenced"
	wordNonIdempotent = "single-use"

	wordDedupAllNodes  = "all"
	wordDedupSameZone  = "zone"
	wordDedupSameShard = "shard"
)

// idempotencies maps the words for idempotency to the values that front ends and nodes use.
var idempotencies = map[string]scheduler.Idempotency{
	wordIdempotent:    scheduler.Idempotent,
	wordKeyed:         scheduler.IdempotencyKeyed,
	wordNonIdempotent: scheduler.NonIdempotent,
}

// requestClassKey returns the scheduler setting that holds a value of the request class at index.
func requestClassKey(index int, value string) string {
	return "products." + strconv.Itoa(index) + "." + value
}

func (d *decoder) requestClasses(blocks *schedulingBlocks, config *Config) {
	for i, block := range blocks.RequestClasses {
		d.requestClass(i, &block, config)
	}
	config.Settings["products.count"] = strconv.Itoa(len(blocks.RequestClasses))
}

func (d *decoder) requestClass(index int, block *requestClassBlock, config *Config) {
	if config.RequestClasses[block.Name] != nil {
		d.reject(block.Range, "Duplicate product", "A product %q is already defined.", block.Name)
	}
	idempotency := d.text(block.Idempotency, wordIdempotent)
	if _, known := idempotencies[idempotency]; !known {
		d.reject(block.Idempotency.Range(), "Unknown kind",
			"A product is \"replayable\", \"referenced\" or \"single-use\", not %q.", idempotency)
	}
	scope := d.text(block.DedupScope, wordDedupAllNodes)
	if scope != wordDedupAllNodes && scope != wordDedupSameZone && scope != wordDedupSameShard {
		d.reject(block.DedupScope.Range(), "Unknown group",
			"The nodes that recognise a repeat are \"all\", those of a \"zone\" or of a \"shard\", not %q.", scope)
	}
	class := &RequestClass{LatencyObjective: d.duration(block.LatencyObjective, time.Millisecond, time.Hour, time.Second)}
	class.Name = block.Name
	class.Idempotency = uint8(idempotencies[idempotency])
	class.Ordered = block.Ordered
	class.Timeout = d.duration(block.ClientTimeout, time.Millisecond, time.Hour, time.Second)
	if class.Timeout < class.LatencyObjective {
		d.reject(block.ClientTimeout.Range(), "Patience below the goal",
			"The patience %v is less than the goal %v: requests would time out before the goal has passed.",
			class.Timeout, class.LatencyObjective)
	}
	class.DedupWindow = d.duration(block.DedupWindow, 0, time.Hour, 0)
	if idempotency == wordKeyed && class.DedupWindow == 0 {
		d.reject(block.Range, "No window", "A referenced product needs a window: how long nodes recognise a repeat.")
	}
	config.RequestClasses[block.Name] = class

	set := func(name, value string) { config.Settings[requestClassKey(index, name)] = value }
	set("name", class.Name)
	set("kind", idempotency)
	set("group", scope)
	set("goal", formatMillis(class.LatencyObjective))
	set("patience", formatMillis(class.Timeout))
	set("window", formatMillis(class.DedupWindow))
	set("in_turn", strconv.FormatBool(class.Ordered))
}

// dedupScope returns the dedup scope of a request class, or the empty string if there is no such class.
func (c *Config) dedupScope(class string) string {
	for i := range len(c.RequestClasses) {
		if c.Settings[requestClassKey(i, "name")] == class {
			return c.Settings[requestClassKey(i, "group")]
		}
	}
	return ""
}
