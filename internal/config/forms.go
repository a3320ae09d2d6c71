package config

import "github.com/hashicorp/hcl/v2"

// The blocks as they stand in the file. Spans and sizes are read by hand, with their units.
type (
	fileForm struct {
		Gateway    gatewayForm     `hcl:"gateway,block"`
		Units      *unitsForm      `hcl:"units,block"`
		Cold       *coldForm       `hcl:"cold,block"`
		Further    *furtherForm    `hcl:"further,block"`
		Executions *executionsForm `hcl:"executions,block"`
		Dismissals *dismissalsForm `hcl:"dismissals,block"`
		Order      *orderForm      `hcl:"order,block"`
		Sources    []sourceForm    `hcl:"source,block"`
		Members    *membersForm    `hcl:"members,block"`
		Follow     *followForm     `hcl:"follow,block"`
		Plans      []planForm      `hcl:"plan,block"`
		Products   []productForm   `hcl:"product,block"`
		Volumes    []volumeForm    `hcl:"volume,block"`
		Disks      *disksForm      `hcl:"disks,block"`
	}
	gatewayForm struct {
		Name     string         `hcl:"name,label"`
		Listen   string         `hcl:"listen"`
		Nodes    hcl.Expression `hcl:"nodes,optional"`
		Shards   hcl.Expression `hcl:"shards"`
		Extent   hcl.Expression `hcl:"extent,optional"`
		Seed     hcl.Expression `hcl:"seed,optional"`
		Gateways hcl.Expression `hcl:"gateways,optional"`
		Connect  hcl.Expression `hcl:"connect,optional"`
		Each     hcl.Expression `hcl:"connections_to_node,optional"`
		StopBy   hcl.Expression `hcl:"stop_by,optional"`
		Limits   *limitsForm    `hcl:"limits,block"`
		Admin    string         `hcl:"admin,optional"`
		Sweep    *sweepForm     `hcl:"sweep,block"`
		Capture  *captureForm   `hcl:"capture,block"`
		Range    hcl.Range      `hcl:",def_range"`
	}
	limitsForm struct {
		Connections hcl.Expression `hcl:"connections,optional"`
		Outstanding hcl.Expression `hcl:"outstanding,optional"`
		Handles     hcl.Expression `hcl:"handles,optional"`
		Entries     hcl.Expression `hcl:"entries,optional"`
		Packet      hcl.Expression `hcl:"packet,optional"`
		Ahead       hcl.Expression `hcl:"ahead,optional"`
		Unread      hcl.Expression `hcl:"unread,optional"`
		Queue       hcl.Expression `hcl:"queue,optional"`
	}
	sweepForm struct {
		Every hcl.Expression `hcl:"every,optional"`
		Idle  hcl.Expression `hcl:"idle,optional"`
	}
	captureForm struct {
		Folder hcl.Expression `hcl:"folder"`
		First  *bool          `hcl:"at_start,optional"`
		Most   hcl.Expression `hcl:"most,optional"`
		Age    hcl.Expression `hcl:"age,optional"`
		Keep   hcl.Expression `hcl:"keep,optional"`
		Flush  hcl.Expression `hcl:"flush,optional"`
		Behind hcl.Expression `hcl:"behind,optional"`
	}
	unitsForm struct {
		Bytes   hcl.Expression `hcl:"bytes,optional"`
		Least   hcl.Expression `hcl:"least,optional"`
		Mean    hcl.Expression `hcl:"mean,optional"`
		Largest hcl.Expression `hcl:"largest,optional"`
	}
	coldForm struct {
		From     hcl.Expression `hcl:"from"`
		Time     hcl.Expression `hcl:"time"`
		Multiple hcl.Expression `hcl:"multiple"`
		Window   hcl.Expression `hcl:"window"`
		Units    hcl.Expression `hcl:"units"`
	}
	furtherForm struct {
		Window hcl.Expression `hcl:"window"`
		Free   hcl.Expression `hcl:"free"`
		Share  hcl.Expression `hcl:"share"`
	}
	executionsForm struct {
		Most         hcl.Expression `hcl:"most,optional"`
		SecondCopies *bool          `hcl:"second_copies,optional"`
		CallingOff   *bool          `hcl:"calling_off,optional"`
	}
	dismissalsForm struct {
		Advice *bool          `hcl:"advice,optional"`
		Most   hcl.Expression `hcl:"most,optional"`
	}
	orderForm struct {
		Rest hcl.Expression `hcl:"rest,optional"`
	}
	sourceForm struct {
		Kind      string         `hcl:"kind,label"`
		Name      string         `hcl:"name,label"`
		File      hcl.Expression `hcl:"file,optional"`
		Clusters  hcl.Expression `hcl:"clusters,optional"`
		Endpoints hcl.Expression `hcl:"endpoints,optional"`
		Address   hcl.Expression `hcl:"address,optional"`
		Form      hcl.Expression `hcl:"form,optional"`
		Node      hcl.Expression `hcl:"node,optional"`
		Fleet     hcl.Expression `hcl:"fleet,optional"`
		Zone      hcl.Expression `hcl:"zone,optional"`
		Wanted    hcl.Expression `hcl:"wanted,optional"`
		Fetch     hcl.Expression `hcl:"fetch,optional"`
		Least     hcl.Expression `hcl:"pause,optional"`
		Most      hcl.Expression `hcl:"pause_most,optional"`
		Message   hcl.Expression `hcl:"message,optional"`
		Range     hcl.Range      `hcl:",def_range"`
	}
	membersForm struct {
		Shrink     hcl.Expression `hcl:"shrink,optional"`
		Hold       hcl.Expression `hcl:"hold,optional"`
		Grace      hcl.Expression `hcl:"grace,optional"`
		Flaps      hcl.Expression `hcl:"flaps,optional"`
		FlapWindow hcl.Expression `hcl:"flap_window,optional"`
		Rest       hcl.Expression `hcl:"rest,optional"`
		Silent     hcl.Expression `hcl:"silent,optional"`
		Forget     hcl.Expression `hcl:"forget,optional"`
		Folder     hcl.Expression `hcl:"folder,optional"`
		First      hcl.Expression `hcl:"first,optional"`
	}
	followForm struct {
		Keepers []string       `hcl:"keepers"`
		Pause   hcl.Expression `hcl:"pause,optional"`
		Record  hcl.Expression `hcl:"record,optional"`
		Dir     hcl.Expression `hcl:"dir,optional"`
		Peer    hcl.Expression `hcl:"peer,optional"`
		Reach   hcl.Expression `hcl:"reach,optional"`
		Range   hcl.Range      `hcl:",def_range"`
	}
	disksForm struct {
		Listen  string         `hcl:"listen"`
		Most    hcl.Expression `hcl:"connections,optional"`
		Login   hcl.Expression `hcl:"login,optional"`
		Queue   hcl.Expression `hcl:"queue,optional"`
		Inside  hcl.Expression `hcl:"inside,optional"`
		Unread  hcl.Expression `hcl:"unread,optional"`
		Targets []targetForm   `hcl:"target,block"`
		Range   hcl.Range      `hcl:",def_range"`
	}
	targetForm struct {
		Name  string    `hcl:"name,label"`
		Chap  *chapForm `hcl:"chap,block"`
		Luns  []lunForm `hcl:"lun,block"`
		Range hcl.Range `hcl:",def_range"`
	}
	chapForm struct {
		Name      string    `hcl:"name"`
		Secret    string    `hcl:"secret"`
		OurName   string    `hcl:"own_name,optional"`
		OurSecret string    `hcl:"own_secret,optional"`
		Range     hcl.Range `hcl:",def_range"`
	}
	lunForm struct {
		Number string         `hcl:"number,label"`
		File   string         `hcl:"file"`
		Size   hcl.Expression `hcl:"size"`
		Block  hcl.Expression `hcl:"block,optional"`
		Fixed  bool           `hcl:"read_only,optional"`
		Range  hcl.Range      `hcl:",def_range"`
	}
	planForm struct {
		Name    string         `hcl:"name,label"`
		Weight  hcl.Expression `hcl:"weight,optional"`
		Rate    hcl.Expression `hcl:"rate,optional"`
		Reserve hcl.Expression `hcl:"reserve,optional"`
		Limit   hcl.Expression `hcl:"limit,optional"`
		Burst   hcl.Expression `hcl:"burst,optional"`
		Slack   hcl.Expression `hcl:"slack,optional"`
		Range   hcl.Range      `hcl:",def_range"`
	}
	productForm struct {
		Name     string         `hcl:"name,label"`
		Kind     hcl.Expression `hcl:"kind,optional"`
		Group    hcl.Expression `hcl:"group,optional"`
		Goal     hcl.Expression `hcl:"goal"`
		Patience hcl.Expression `hcl:"patience"`
		Window   hcl.Expression `hcl:"window,optional"`
		InTurn   bool           `hcl:"in_turn,optional"`
		Range    hcl.Range      `hcl:",def_range"`
	}
	volumeForm struct {
		Name  string         `hcl:"name,label"`
		ID    hcl.Expression `hcl:"id"`
		Plan  hcl.Expression `hcl:"plan"`
		Hosts hcl.Expression `hcl:"hosts,optional"`
		Rules []ruleForm     `hcl:"product,block"`
		Range hcl.Range      `hcl:",def_range"`
	}
	ruleForm struct {
		Product string         `hcl:"product,label"`
		For     []string       `hcl:"for"`
		Match   string         `hcl:"match,optional"`
		Larger  hcl.Expression `hcl:"larger,optional"`
		Range   hcl.Range      `hcl:",def_range"`
	}
)
