# Two nodes are slow, one after the other. The capture beside it was made from it, see docs/capture.md.
seed     = 11
length   = "6s"
config   = "../../../examples/canteen.hcl"
gateways = 2

node "a" {
  shard = 0
  cores = 2
  unit  = "4ms"
  queue = 64
}
node "b" {
  shard = 1
  cores = 2
  unit  = "4ms"
  queue = 64
}
node "c" {
  shard   = 2
  cores   = 2
  unit    = "6ms"
  queue   = 64
  put_off = 0.3
}

client "kitchen" {
  count   = 4
  volume  = "orders"
  do      = "read"
  rate    = 15
  files   = 3
  blocks  = 4
  retries = 1
}
client "cook" {
  count  = 2
  volume = "orders"
  do     = "write"
  rate   = 8
  files  = 2
  blocks = 4
}
client "billing" {
  count  = 2
  volume = "exports"
  do     = "read"
  rate   = 6
  bytes  = 131072
  files  = 2
  blocks = 4
}

trouble {
  at   = "500ms"
  for  = "2s"
  node = "a"
  do   = "slow 8"
}
trouble {
  at   = "3s"
  for  = "2s"
  node = "c"
  do   = "slow 5"
}
