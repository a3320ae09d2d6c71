package testkit

// Conf is a gateway configuration for tests, as a format string: %s is the gateway's name, %d the number of shards. Its
// times are long so that tests have the same results on a slow machine.
const Conf = `
gateway "%s" {
  listen   = "127.0.0.1:0"
  nodes    = "-"
  shards   = %d
  extent   = "64KiB"
  gateways = 2
}
units {
  bytes = "16KiB"
}
order {
  rest = "100ms"
}
plan "basic" {
  rate = 1000
}
product "read" {
  goal     = "3s"
  patience = "5s"
}
product "write" {
  goal     = "3s"
  patience = "5s"
  in_turn  = true
}
product "change" {
  kind     = "referenced"
  group    = "shard"
  window   = "10s"
  goal     = "3s"
  patience = "5s"
}
volume "meals" {
  id   = 1
  plan = "basic"
  product "read" {
    for = ["read", "look"]
  }
  product "write" {
    for = ["write"]
  }
  product "change" {
    for = ["change"]
  }
}
`
