# A rolling replacement: each node is drained for a cold successor, one after the other; then one dies outright.
seed     = 7
length   = "24s"
config   = "canteen.hcl"
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
  shard = 2
  cores = 2
  unit  = "6ms"
  queue = 64
  put_off = 0.3
}

client "kitchen" {
  count  = 4
  volume = "orders"
  do     = "read"
  rate   = 15
  files  = 3
  blocks = 4
  retries = 1
}
client "cook" {
  count  = 2
  volume = "orders"
  do     = "write"
  rate   = 8
  files  = 2
  blocks = 4
  retries = 1
}
client "office" {
  count  = 2
  volume = "orders"
  do     = "create"
  rate   = 3
  retries = 1
}
client "billing" {
  count  = 2
  volume = "exports"
  do     = "read"
  rate   = 5
  bytes  = 131072
  files  = 2
  blocks = 4
}
client "trial" {
  count  = 2
  volume = "trial"
  do     = "read"
  rate   = 20
  files  = 2
}

trouble {
  at   = "2s"
  node = "a"
  do   = "replace"
}
trouble {
  at   = "8s"
  node = "b"
  do   = "replace"
}
trouble {
  at   = "14s"
  for  = "2s"
  node = "c"
  do   = "die"
}
