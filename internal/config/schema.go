package config

import "github.com/hashicorp/hcl/v2"

// The blocks of a gateway's file. Durations, sizes and numbers remain expressions, so that the decoder can check
// their units and ranges.
type (
	gatewayFile struct {
		Gateway        gatewayBlock        `hcl:"gateway,block"`
		Units          *unitsBlock         `hcl:"units,block"`
		SlowStart      *slowStartBlock     `hcl:"cold,block"`
		Retries        *retriesBlock       `hcl:"further,block"`
		Attempts       *attemptsBlock      `hcl:"executions,block"`
		Rejections     *rejectionsBlock    `hcl:"dismissals,block"`
		KeyOrder       *keyOrderBlock      `hcl:"order,block"`
		Sources        []sourceBlock       `hcl:"source,block"`
		Membership     *membershipBlock    `hcl:"members,block"`
		Follow         *followBlock        `hcl:"follow,block"`
		ServiceLevels  []serviceLevelBlock `hcl:"plan,block"`
		RequestClasses []requestClassBlock `hcl:"product,block"`
		Volumes        []volumeBlock       `hcl:"volume,block"`
		Disks          *disksBlock         `hcl:"disks,block"`
	}
	gatewayBlock struct {
		Name               string         `hcl:"name,label"`
		Listen             string         `hcl:"listen"`
		EndpointFile       hcl.Expression `hcl:"nodes,optional"`
		Shards             hcl.Expression `hcl:"shards"`
		ExtentBytes        hcl.Expression `hcl:"extent,optional"`
		Seed               hcl.Expression `hcl:"seed,optional"`
		GatewayCount       hcl.Expression `hcl:"gateways,optional"`
		ConnectTimeout     hcl.Expression `hcl:"connect,optional"`
		ConnectionsPerNode hcl.Expression `hcl:"connections_to_node,optional"`
		ShutdownTimeout    hcl.Expression `hcl:"stop_by,optional"`
		Limits             *limitsBlock   `hcl:"limits,block"`
		AdminSocket        string         `hcl:"admin,optional"`
		Sweep              *sweepBlock    `hcl:"sweep,block"`
		Capture            *captureBlock  `hcl:"capture,block"`
		Range              hcl.Range      `hcl:",def_range"`
	}
	limitsBlock struct {
		Connections    hcl.Expression `hcl:"connections,optional"`
		Outstanding    hcl.Expression `hcl:"outstanding,optional"`
		Handles        hcl.Expression `hcl:"handles,optional"`
		Entries        hcl.Expression `hcl:"entries,optional"`
		PacketBytes    hcl.Expression `hcl:"packet,optional"`
		ReadAheadBytes hcl.Expression `hcl:"ahead,optional"`
		UnsentBytes    hcl.Expression `hcl:"unread,optional"`
		EventQueue     hcl.Expression `hcl:"queue,optional"`
	}
	sweepBlock struct {
		Interval hcl.Expression `hcl:"every,optional"`
		MinAge   hcl.Expression `hcl:"idle,optional"`
	}
	captureBlock struct {
		Dir           hcl.Expression `hcl:"folder"`
		AtStart       *bool          `hcl:"at_start,optional"`
		FileBytes     hcl.Expression `hcl:"most,optional"`
		FileAge       hcl.Expression `hcl:"age,optional"`
		KeptFiles     hcl.Expression `hcl:"keep,optional"`
		FlushInterval hcl.Expression `hcl:"flush,optional"`
		QueuedBlocks  hcl.Expression `hcl:"behind,optional"`
	}
	unitsBlock struct {
		BytesPerUnit hcl.Expression `hcl:"bytes,optional"`
		Minimum      hcl.Expression `hcl:"least,optional"`
		Mean         hcl.Expression `hcl:"mean,optional"`
		Maximum      hcl.Expression `hcl:"largest,optional"`
	}
	slowStartBlock struct {
		StartShare hcl.Expression `hcl:"from"`
		Duration   hcl.Expression `hcl:"time"`
		Multiple   hcl.Expression `hcl:"multiple"`
		Window     hcl.Expression `hcl:"window"`
		FreeUnits  hcl.Expression `hcl:"units"`
	}
	retriesBlock struct {
		Window      hcl.Expression `hcl:"window"`
		FreeRetries hcl.Expression `hcl:"free"`
		Ratio       hcl.Expression `hcl:"share"`
	}
	attemptsBlock struct {
		MaxAttempts hcl.Expression `hcl:"most,optional"`
		Hedging     *bool          `hcl:"second_copies,optional"`
		Cancelling  *bool          `hcl:"calling_off,optional"`
	}
	rejectionsBlock struct {
		RetryAfter    *bool          `hcl:"advice,optional"`
		MaxRetryAfter hcl.Expression `hcl:"most,optional"`
	}
	keyOrderBlock struct {
		BlockedTime hcl.Expression `hcl:"rest,optional"`
	}
	sourceBlock struct {
		Kind         string         `hcl:"kind,label"`
		Name         string         `hcl:"name,label"`
		File         hcl.Expression `hcl:"file,optional"`
		Clusters     hcl.Expression `hcl:"clusters,optional"`
		Endpoints    hcl.Expression `hcl:"endpoints,optional"`
		Address      hcl.Expression `hcl:"address,optional"`
		Protocol     hcl.Expression `hcl:"form,optional"`
		NodeID       hcl.Expression `hcl:"node,optional"`
		NodeCluster  hcl.Expression `hcl:"fleet,optional"`
		Zone         hcl.Expression `hcl:"zone,optional"`
		ClusterNames hcl.Expression `hcl:"wanted,optional"`
		FetchTimeout hcl.Expression `hcl:"fetch,optional"`
		MinBackoff   hcl.Expression `hcl:"pause,optional"`
		MaxBackoff   hcl.Expression `hcl:"pause_most,optional"`
		MessageBytes hcl.Expression `hcl:"message,optional"`
		Range        hcl.Range      `hcl:",def_range"`
	}
	membershipBlock struct {
		MaxLossRatio     hcl.Expression `hcl:"shrink,optional"`
		HoldDown         hcl.Expression `hcl:"hold,optional"`
		RemovalGrace     hcl.Expression `hcl:"grace,optional"`
		MaxFlaps         hcl.Expression `hcl:"flaps,optional"`
		FlapWindow       hcl.Expression `hcl:"flap_window,optional"`
		DampingTime      hcl.Expression `hcl:"rest,optional"`
		StaleAfter       hcl.Expression `hcl:"silent,optional"`
		ForgetAfter      hcl.Expression `hcl:"forget,optional"`
		CacheDir         hcl.Expression `hcl:"folder,optional"`
		FirstListTimeout hcl.Expression `hcl:"first,optional"`
	}
	followBlock struct {
		Replicas     []string       `hcl:"keepers"`
		PollInterval hcl.Expression `hcl:"pause,optional"`
		VersionLog   hcl.Expression `hcl:"record,optional"`
		CacheDir     hcl.Expression `hcl:"dir,optional"`
		PeerAddress  hcl.Expression `hcl:"peer,optional"`
		PeerRoutes   hcl.Expression `hcl:"reach,optional"`
		Range        hcl.Range      `hcl:",def_range"`
	}
	disksBlock struct {
		Listen       string         `hcl:"listen"`
		Connections  hcl.Expression `hcl:"connections,optional"`
		LoginTimeout hcl.Expression `hcl:"login,optional"`
		SessionQueue hcl.Expression `hcl:"queue,optional"`
		InFlight     hcl.Expression `hcl:"inside,optional"`
		UnsentBytes  hcl.Expression `hcl:"unread,optional"`
		Targets      []targetBlock  `hcl:"target,block"`
		Range        hcl.Range      `hcl:",def_range"`
	}
	targetBlock struct {
		Name  string     `hcl:"name,label"`
		CHAP  *chapBlock `hcl:"chap,block"`
		LUNs  []lunBlock `hcl:"lun,block"`
		Range hcl.Range  `hcl:",def_range"`
	}
	chapBlock struct {
		Name         string    `hcl:"name"`
		Secret       string    `hcl:"secret"`
		TargetName   string    `hcl:"own_name,optional"`
		TargetSecret string    `hcl:"own_secret,optional"`
		Range        hcl.Range `hcl:",def_range"`
	}
	lunBlock struct {
		Number     string         `hcl:"number,label"`
		File       string         `hcl:"file"`
		Size       hcl.Expression `hcl:"size"`
		BlockBytes hcl.Expression `hcl:"block,optional"`
		ReadOnly   bool           `hcl:"read_only,optional"`
		Range      hcl.Range      `hcl:",def_range"`
	}
	serviceLevelBlock struct {
		Name        string         `hcl:"name,label"`
		Weight      hcl.Expression `hcl:"weight,optional"`
		NominalRate hcl.Expression `hcl:"rate,optional"`
		Reserve     hcl.Expression `hcl:"reserve,optional"`
		RateLimit   hcl.Expression `hcl:"limit,optional"`
		Burst       hcl.Expression `hcl:"burst,optional"`
		Slack       hcl.Expression `hcl:"slack,optional"`
		Range       hcl.Range      `hcl:",def_range"`
	}
	requestClassBlock struct {
		Name             string         `hcl:"name,label"`
		Idempotency      hcl.Expression `hcl:"kind,optional"`
		DedupScope       hcl.Expression `hcl:"group,optional"`
		LatencyObjective hcl.Expression `hcl:"goal"`
		ClientTimeout    hcl.Expression `hcl:"patience"`
		DedupWindow      hcl.Expression `hcl:"window,optional"`
		Ordered          bool           `hcl:"in_turn,optional"`
		Range            hcl.Range      `hcl:",def_range"`
	}
	volumeBlock struct {
		Name         string            `hcl:"name,label"`
		ID           hcl.Expression    `hcl:"id"`
		ServiceLevel hcl.Expression    `hcl:"plan"`
		GatewayCount hcl.Expression    `hcl:"hosts,optional"`
		Rules        []volumeRuleBlock `hcl:"product,block"`
		Range        hcl.Range         `hcl:",def_range"`
	}
	volumeRuleBlock struct {
		RequestClass string         `hcl:"product,label"`
		Operations   []string       `hcl:"for"`
		Match        string         `hcl:"match,optional"`
		LargerThan   hcl.Expression `hcl:"larger,optional"`
		Range        hcl.Range      `hcl:",def_range"`
	}
)
