# A bad morning: one of three nodes fails half its jobs, and some clients give up while their request is out.
seed     = 7
length   = "15s"
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

client "hasty" {
  count  = 2
  volume = "orders"
  do     = "read"
  rate   = 10
  files  = 2
  retries = 1
  leaves_after = "30ms"
}
trouble {
  at   = "3s"
  for  = "8s"
  node = "b"
  do   = "fail 0.5"
}
trouble {
  at   = "5s"
  for  = "4s"
  node = "c"
  do   = "slow 4"
}
