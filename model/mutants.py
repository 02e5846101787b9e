"""
Mutation tests: remove one guard of the code at a time and check that the tests fail.

Each mutant is one replacement in one file, applied to a copy of the tree, and lists test modules
of which at least one must fail; all of them must pass without it. The exit status is 0 only if
every mutant is noticed.
"""

import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from beechbridge.record import Record

ROOT = Path(__file__).parent.parent
COPIED = ('beechbridge', 'demo', 'examples', 'measure', 'model', 'soak', 'tests')
WORKERS = 4
TIMEOUT_S = 300
KNOWN_RED_FILE = ROOT / 'KNOWN-RED.txt'


class Mutant(Record):
    """
    A guard removed from the code.

    :param old: text that occurs exactly once in the file
    :param new: text that replaces it
    :param tests: test modules of which at least one must fail
    """

    __slots__ = ('file', 'name', 'new', 'old', 'tests')

    def __init__(self, name: str, file: str, old: str, new: str, tests: tuple[str, ...]):
        self.name = name
        self.file = file
        self.old = old
        self.new = new
        self.tests = tests


TICKETS = 'beechbridge/core/tickets/controller.py'
FANOUT = 'beechbridge/core/requests/fanout.py'
UPSTREAMS = 'beechbridge/core/upstreams/controller.py'
HEALTH = 'beechbridge/core/upstreams/health.py'
EXCHANGES = 'beechbridge/core/upstreams/exchanges.py'
CONFIGURATION = 'beechbridge/core/fleet/configuration.py'
STORE_UPDATES = 'beechbridge/gateway/replicas/store_updates.py'
GATEWAY_STOPPING = 'beechbridge/gateway/fleet/stopping.py'
RESTORATION = 'beechbridge/gateway/replicas/restoration.py'
STORE_VIEW = 'beechbridge/gateway/replicas/store_view.py'
NOTICES = 'beechbridge/gateway/replicas/notices.py'
LIMITS = 'beechbridge/gateway/replicas/limits.py'
COLD = 'beechbridge/gateway/replicas/cold.py'
COLD_LIMITS = 'beechbridge/gateway/replicas/cold_limits.py'
PERMISSION = 'beechbridge/gateway/requests/permission.py'
USABLE = 'beechbridge/gateway/replicas/upstreams.py'
SUSPICION = 'beechbridge/gateway/requests/suspicion.py'
EVIDENCE = 'beechbridge/gateway/requests/evidence.py'
HOLDING = 'beechbridge/gateway/requests/holding.py'
REPORTS = 'beechbridge/gateway/fleet/suspect_reports.py'

REACH_CHECKS = 'beechbridge/gateway/requests/reach_checks.py'
RELAYS = 'beechbridge/gateway/requests/relays.py'
VM_REQUESTS = 'beechbridge/gateway/requests/vm_requests.py'
AGGREGATORS = 'beechbridge/gateway/fleet/aggregators.py'
MEMBERS = 'beechbridge/gateway/fleet/members.py'
ORDERS = 'beechbridge/gateway/requests/orders.py'
PROGRESS = 'beechbridge/gateway/requests/progress.py'
HEDGING = 'beechbridge/core/requests/hedging.py'
UPSTREAM_CLIENT = 'beechbridge/daemon/upstream_client.py'
WITHDRAWAL = 'beechbridge/gateway/requests/withdrawal.py'
WORKS = 'beechbridge/gateway/requests/works.py'
CLIENT_CONNECTION = 'beechbridge/daemon/client_connection.py'
EVACUATIONS = 'beechbridge/gateway/replicas/evacuations.py'
PULLS = 'beechbridge/gateway/fleet/pulls.py'
UNSENT = 'beechbridge/gateway/requests/unsent.py'
WAITING = 'beechbridge/gateway/requests/waiting.py'
CANDIDATES = 'beechbridge/gateway/requests/candidates.py'
HOMES = 'beechbridge/gateway/homes.py'
HOME_CHECKS = 'beechbridge/gateway/requests/homes.py'
ITEMS = 'beechbridge/platform/items.py'
GATEWAY_PROCESS = 'beechbridge/daemon/gateway.py'
CALLER_CHANNEL = 'beechbridge/daemon/caller_channel.py'
CONNECTIONS = 'beechbridge/daemon/connections.py'
MEMORY_ACCOUNT = 'beechbridge/daemon/memory_account.py'
PLATFORM_SETTINGS = 'beechbridge/platform/settings.py'

BODIES = 'beechbridge/daemon/bodies.py'
REPLY_HEADS = 'beechbridge/platform/replicas.py'
REQUEST_PARSER = 'beechbridge/daemon/request_parser.py'
MEMBER_RECORDS = 'beechbridge/wire/members.py'
FLEET_MESSAGES = 'beechbridge/wire/fleet.py'
PEER_FRAMES = 'beechbridge/wire/codec.py'
FIELDS = 'beechbridge/fields.py'
LATENCIES = 'beechbridge/gateway/latencies.py'
SUSPECT_QUERIES = 'beechbridge/core/requests/suspects.py'
DRIVER = 'beechbridge/daemon/driver.py'
SERVER = 'beechbridge/daemon/server.py'
VM_LIST = 'beechbridge/daemon/platform.py'
CLI_CLIENT = 'beechbridge/cli/client.py'
EXPECTED_WORK = 'beechbridge/gateway/replicas/expected_work.py'
LOAD_REPORTS = 'beechbridge/gateway/replicas/load_reports.py'
WORK_ESTIMATES = 'beechbridge/gateway/requests/work_estimates.py'
HEDGES = 'beechbridge/gateway/requests/hedges.py'
PLATFORM_SETTINGS = 'beechbridge/platform/settings.py'
ANSWER_TIME = 'beechbridge/gateway/requests/answer_time.py'
GATHER_TIMING = 'beechbridge/gateway/requests/gather_timing.py'
PAUSES = 'beechbridge/gateway/replicas/pauses.py'
START_QUEUE = 'beechbridge/gateway/requests/start_queue.py'
EARLY_LISTENER = 'beechbridge/daemon/early_listener.py'
ROOM = 'beechbridge/gateway/requests/room.py'
ROOM_QUEUE = 'beechbridge/gateway/requests/room_queue.py'
ANSWER_CLOCK = 'beechbridge/daemon/answer_clock.py'

MUTANTS = (
    Mutant(
        'cold replicas need no permits',
        COLD_LIMITS,
        'notices.cold_limit = make_limit(rules.cold_rate_per_s, gateway.cold_rules)',
        'notices.cold_limit = None',
        ('test_cold_replicas',),
    ),
    Mutant(
        'the life of permits does not count for cold replicas',
        COLD,
        'SPREAD_S = 1.0 + PERMIT_LIFETIME_MS / 1000.0 + MESSAGE_DELAY_S',
        'SPREAD_S = 0.0',
        ('test_cold_rules',),
    ),
    Mutant(
        'the burst of a cold replica is that of a stated limit',
        LIMITS,
        'return burst if self.cold_burst is None else min(burst, self.cold_burst)',
        'return burst',
        ('test_cold_rules',),
    ),
    Mutant(
        'a bucket keeps what it collected while its replica was warm',
        LIMITS,
        'if terms is not None and gap_ms >= RESTART_GAP_MS and terms.age_ms < gap_ms:',
        'if False:',
        ('test_cold_rules',),
    ),
    Mutant(
        'a late reply ends the coldness of a replica',
        COLD,
        'is_latest = sent_ms >= self.stated_ms',
        'is_latest = True',
        ('test_cold_rules',),
    ),
    Mutant(
        'VMs do not tell each other that a replica has turned cold',
        COLD_LIMITS,
        'gateway.limits.turned_cold[state.entry.replica_id] = state',
        'pass',
        ('test_cold_replicas',),
    ),
    Mutant(
        'a VM that is not the keeper grants permits for cold replicas',
        LIMITS,
        'if terms is not None and not may_grant_cold(replica_id, gateway):',
        'if False:',
        ('test_cold_rules',),
    ),
    Mutant(
        'a cold replica is passed over for others',
        COLD_LIMITS,
        '    state.cold_until_ms = 0.0\n',
        '    pass\n',
        ('test_cold_replicas',),
    ),
    Mutant(
        'odd terms of cold replicas are used',
        PERMISSION,
        'if has_odd_limit or has_odd_terms(message) or not',
        'if has_odd_limit or not',
        ('test_cold_rules',),
    ),
    Mutant(
        'the age of a relayed record is not counted',
        MEMBERS,
        'received.last_heartbeat_ms = now_ms - received.age_ms',
        'received.last_heartbeat_ms = now_ms',
        ('test_member_age',),
    ),
    Mutant(
        'the timeout of relayed members ignores the bound of the settings',
        MEMBERS,
        'if stable_ms is None:',
        'if True:',
        ('test_member_age',),
    ),
    Mutant(
        'a record of an odd age is used',
        MEMBER_RECORDS,
        'if record.age_ms is not None and not 0 <= record.age_ms <= MAX_AGE_MS:',
        'if False:',
        ('test_member_age',),
    ),
    Mutant(
        'changes of another region wait for a second message',
        PULLS,
        '        schedule_pull(event, sender, gateway)\n',
        '',
        ('test_evacuations',),
    ),
    Mutant(
        'an evacuated replica may be sent requests',
        USABLE,
        'if self.is_evacuated:\n            return False',
        'if self.is_gone:\n            return False',
        ('test_evacuations',),
    ),
    Mutant(
        'a connection to an evacuated replica is kept',
        USABLE,
        'if not is_reusable or self.is_gone or self.is_evacuated:',
        'if not is_reusable or self.is_gone:',
        ('test_evacuations',),
    ),
    Mutant(
        'idle connections to evacuated replicas stay open',
        EVACUATIONS,
        '    if not state.is_evacuated:\n        return\n',
        '    return\n',
        ('test_evacuations',),
    ),
    Mutant(
        'a replica that registers later is not evacuated',
        STORE_UPDATES,
        '    mark_evacuated(state, gateway)\n    gateway.upstreams.add(state)',
        '    gateway.upstreams.add(state)',
        ('test_evacuations',),
    ),
    Mutant(
        'an evacuation ends only by a readable item',
        STORE_UPDATES,
        'gateway, is_end=False)\n        return end_evacuation(item.key, gateway)',
        'gateway, is_end=False)\n        return []',
        ('test_evacuations',),
    ),
    Mutant(
        'the deletion of an evacuation is ignored',
        STORE_UPDATES,
        'state, gateway)\n        return end_evacuation(item.key, gateway)',
        'state, gateway)\n        return []',
        ('test_evacuations',),
    ),
    Mutant(
        'evacuations are applied in the order of the items',
        STORE_UPDATES,
        '    decoded_items.sort(key=lambda pair: not isinstance(pair[1], Evacuation))\n',
        '',
        ('test_evacuations',),
    ),
    Mutant(
        'a second item starts an evacuation anew',
        EVACUATIONS,
        '        if key in self.zone_by_key:\n            return False\n',
        '',
        ('test_evacuations',),
    ),
    Mutant(
        'unsent requests to evacuated replicas are sent',
        STORE_UPDATES,
        '        withdraw_barred(gateway)\n',
        '',
        ('test_evacuations',),
    ),
    Mutant(
        'a withdrawn request is not sent elsewhere',
        UNSENT,
        '    resume_task(exchange.owner, gateway, may_retry=True)\n',
        '',
        ('test_evacuations',),
    ),
    Mutant(
        'queued requests to an evacuated zone wait',
        STORE_UPDATES,
        '        dispatch_anew(services, gateway)\n',
        '',
        ('test_evacuations',),
    ),
    Mutant(
        'the store reader does not list evacuations',
        GATEWAY_PROCESS,
        'LISTED_PREFIXES = (EVACUATIONS_PREFIX, REPLICAS_PREFIX, TABLE_KEY)',
        'LISTED_PREFIXES = (REPLICAS_PREFIX, TABLE_KEY)',
        ('test_evacuations',),
    ),
    Mutant(
        'evacuations are not watched',
        ITEMS,
        'key.startswith((REPLICAS_PREFIX, EVACUATIONS_PREFIX))',
        'key.startswith(REPLICAS_PREFIX)',
        ('test_evacuations',),
    ),
    Mutant(
        'any key names an evacuated zone',
        ITEMS,
        'if ZONE.fullmatch(zone) is None or len(key) > MAX_KEY_LENGTH:',
        'if False:',
        ('test_evacuations',),
    ),
    Mutant(
        'any value evacuates a zone',
        ITEMS,
        '        EVACUATION_DECODER.decode(value)\n',
        '        pass\n',
        ('test_evacuations',),
    ),
    Mutant(
        'homes bind no choice among replicas',
        CANDIDATES,
        'zones_of(current_homes(work, gateway), gateway.fleet.regions)',
        'None',
        ('test_homes',),
    ),
    Mutant(
        'only the first of two sets of homes counts',
        HOMES,
        '    return first & second\n',
        '    return first\n',
        ('test_homes',),
    ),
    Mutant(
        'homes of the table with which a request was taken stay',
        HOMES,
        '    return known if route is None else route.home_regions\n',
        '    return known\n',
        ('test_homes',),
    ),
    Mutant(
        'a route that is removed has no homes',
        HOMES,
        '    return known if route is None else route.home_regions\n',
        '    return None if route is None else route.home_regions\n',
        ('test_homes',),
    ),
    Mutant(
        'homes are worked out once for a request',
        CANDIDATES,
        'if work.zones_version != gateway.table.version:',
        'if work.zones_version is None:',
        ('test_homes',),
    ),
    Mutant(
        'an order obeys only its own homes',
        CANDIDATES,
        'own.home_regions if own is not None else None',
        'None',
        ('test_homes',),
    ),
    Mutant(
        'an order does not carry its homes',
        ORDERS,
        '        current_homes(work, gateway),\n',
        '        None,\n',
        ('test_homes',),
    ),
    Mutant(
        'an order that no home can serve is taken',
        VM_REQUESTS,
        '    failure = check_order_homes(work, gateway)\n',
        '    failure = None\n',
        ('test_homes',),
    ),
    Mutant(
        'a relay goes to any VM',
        RELAYS,
        'state = gateway.aggregators.choose_relay(work.relay_targets, gateway, zones)',
        'state = gateway.aggregators.choose_relay(work.relay_targets, gateway)',
        ('test_homes',),
    ),
    Mutant(
        'a request that has no relay is given up',
        RELAYS,
        '        if not has_relay(work, gateway):\n            continue\n',
        '',
        ('test_homes',),
    ),
    Mutant(
        'a VM without replicas rejects what a home can serve',
        HOME_CHECKS,
        'if zones is None or should_relay(gateway):',
        'if zones is None:',
        ('test_homes',),
    ),
    Mutant(
        'requests wait for a home that is cut off',
        HOME_CHECKS,
        '    if healthy_count >= needed:\n        return None\n',
        '    return None\n',
        ('test_homes',),
    ),
    Mutant(
        'a home that was cut off is never tried again',
        HOME_CHECKS,
        '    return now_ms - max(sent_ms, default=-math.inf) >= TRIAL_INTERVAL_MS\n',
        '    return False\n',
        ('test_homes',),
    ),
    Mutant(
        'one failure has all requests of a home rejected',
        HOME_CHECKS,
        '    if now_ms - state.replied_ms < RECENT_REPLY_MS:\n        return True\n',
        '',
        ('test_homes',),
    ),
    Mutant(
        'a request of a home holds up all others',
        WAITING,
        '            if zones is None:\n                return\n',
        '            return\n',
        ('test_homes',),
    ),
    Mutant(
        'an unsent request leaves for a former home',
        UNSENT,
        '    return state.is_evacuated or (zones is not None and state.entry.zone not in zones)\n',
        '    return state.is_evacuated\n',
        ('test_homes',),
    ),
    Mutant(
        'queued requests wait although the table permits more',
        STORE_UPDATES,
        '        services.extend(gateway.waiting)\n',
        '        pass\n',
        ('test_homes',),
    ),
    Mutant(
        'the directory names any VM to callers of a home',
        HOMES,
        '    if near:\n        return near\n',
        '    if near or homes:\n        return members\n',
        ('test_homes',),
    ),
    Mutant(
        'the cost of outstanding requests is ignored',
        EXPECTED_WORK,
        'own_ms = exchange.cost_ms * factor',
        'own_ms = demand.mean_ms * factor',
        ('test_expected_work',),
    ),
    Mutant(
        'a load report keeps its weight',
        LOAD_REPORTS,
        'return max(0.0, 1.0 - (now_ms - self.received_ms) / MAX_LOAD_AGE_MS)',
        'return 1.0',
        ('test_expected_work',),
    ),
    Mutant(
        'the age of outstanding requests is ignored',
        EXPECTED_WORK,
        'left_ms = exchange.sent_ms + exchange.expected_ms - now_ms',
        'left_ms = exchange.expected_ms',
        ('test_expected_work',),
    ),
    Mutant(
        'the load header is not read',
        REPLY_HEADS,
        '    REPLICA_LOAD.lower(): read_load,',
        '',
        ('test_work_balancing',),
    ),
    Mutant(
        'a load report is not used',
        EXPECTED_WORK,
        'others += load.weight(now_ms) * (load.others - others)',
        'others += 0.0',
        ('test_expected_work',),
    ),
    Mutant(
        'the speed of replicas is ignored',
        LOAD_REPORTS,
        'factor = math.exp(self.log_speed * decay)',
        'factor = 1.0',
        ('test_expected_work',),
    ),
    Mutant(
        'all VMs choose the replica that is first',
        EXPECTED_WORK,
        'draw_ms = rng.random() * total_ms',
        'return min(near, key=lambda candidate: candidate[0])',
        ('test_expected_work',),
    ),
    Mutant(
        'a silent replica is taken to work on',
        EXPECTED_WORK,
        'return max(MIN_SILENCE_MS, silent_ms)',
        'return 0.0',
        ('test_expected_work',),
    ),
    Mutant(
        'replies from a full queue are learned from',
        WORK_ESTIMATES,
        'return report.waiting >= report.slots',
        'return False',
        ('test_work_balancing',),
    ),
    Mutant(
        'a reply may have cost less than nothing',
        WORK_ESTIMATES,
        'max(MIN_SAMPLE_RATIO * exchange.cost_ms, work_ms / pace)',
        'work_ms / pace',
        ('test_work_balancing',),
    ),
    Mutant(
        'a hedge does not wait for the expected time',
        HEDGES,
        'wait_ms = exchange.wait_ms / exchange.wait_factor',
        'wait_ms = 0.0',
        ('test_work_balancing',),
    ),
    Mutant(
        'all deployments balance by work',
        PLATFORM_SETTINGS,
        'balances_by_work = not UNEVEN_LOAD_CONTRACTS.isdisjoint(file.contracts)',
        'balances_by_work = True',
        ('test_work_balancing',),
    ),
    Mutant(
        'a refusal that nobody proves is passed on',
        PROGRESS,
        'answer = withhold_unproven(answer, work)',
        'pass',
        ('test_false_refusals',),
    ),
    Mutant(
        'a refusal of an order needs no ID',
        ORDERS,
        'reply.answer is None and reply.request_id == work.request.request_id',
        'reply.answer is None',
        ('test_orders',),
    ),
    Mutant(
        'an unknown failure has the status of a refusal',
        BODIES,
        'if status == NOT_RUN_STATUS and answer.executed is not Executed.NOT_RUN:',
        'if False:',
        ('test_false_refusals',),
    ),
    Mutant(
        'a keep-alive timeout has any length',
        REPLY_HEADS,
        "WHOLE_SECONDS = re.compile(r'[0-9]{1,9}')",
        "WHOLE_SECONDS = re.compile(r'[0-9]+')",
        ('test_odd_heads',),
    ),
    Mutant(
        'an odd head of a request closes its connection',
        REQUEST_PARSER,
        'except ValueError as error:',
        'except ZeroDivisionError as error:',
        ('test_odd_heads',),
    ),
    Mutant(
        'a member has any host',
        MEMBER_RECORDS,
        'if not is_host(record.host):',
        'if False:',
        ('test_odd_messages',),
    ),
    Mutant(
        'an order has any times',
        FLEET_MESSAGES,
        'failure = check_times(frame) or check_counts(frame)',
        'failure = check_counts(frame)',
        ('test_odd_messages',),
    ),
    Mutant(
        'an answer to an order has any numbers',
        FLEET_MESSAGES,
        'isinstance(frame, Failure) or not is_within_bounds(frame)',
        'isinstance(frame, Failure)',
        ('test_odd_messages',),
    ),
    Mutant(
        'a relayed request has any deadline',
        PEER_FRAMES,
        'if not 1 <= request.deadline_ms <= MAX_DURATION_MS:',
        'if False:',
        ('test_odd_messages',),
    ),
    Mutant(
        'a number of any length ends the reading of settings',
        FIELDS,
        'except (ValueError, RecursionError) as error:',
        'except (tomllib.TOMLDecodeError, RecursionError) as error:',
        ('test_odd_settings',),
    ),
    Mutant(
        'a timeout without end is learnt from',
        LATENCIES,
        'if timeout_ms > MAX_CALLER_TIMEOUT_MS:',
        'if False:',
        ('test_odd_heads',),
    ),
    Mutant(
        'an odd VM takes the list along',
        VM_LIST,
        'failures.append(vm)\n            continue',
        'return [], [vm]',
        ('test_odd_addresses',),
    ),
    Mutant(
        'an odd address of the directory ends the search',
        CLI_CLIENT,
        'UNSENT_REASONS = (Reason.CONNECT_FAILED, Reason.INVALID_INPUT)',
        'UNSENT_REASONS = (Reason.CONNECT_FAILED,)',
        ('test_odd_addresses',),
    ),
    Mutant(
        'the first losses of a query convict it',
        SUSPECT_QUERIES,
        'if attempt.sent_ms > suspect.first_loss_ms:',
        'if True:',
        ('test_query_quarantine',),
    ),
    Mutant(
        'an answer does not acquit a query',
        FANOUT,
        'core.suspects.acquit(task.plan, core)',
        'pass',
        ('test_query_quarantine',),
    ),
    Mutant(
        'a convicted query in progress is sent on',
        FANOUT,
        'stop_convicted(digest_of(owner.plan), core)',
        'pass',
        ('test_query_quarantine',),
    ),
    Mutant(
        'a query is sent on after later losses',
        FANOUT,
        'if core.suspects.is_convicted(owner.plan, core):',
        'if False:',
        ('test_query_quarantine', 'test_deadly_queries'),
    ),
    Mutant(
        'a defect ends the thread of the timers',
        DRIVER,
        'with contextlib.suppress(Exception):',
        'with contextlib.suppress(ZeroDivisionError):',
        ('test_driver',),
    ),
    Mutant(
        'a server is closed by another thread',
        SERVER,
        'server.trigger.pull_trigger(close)',
        'close()',
        ('test_server_close',),
    ),
    Mutant(
        'not run is said without the word of the driver',
        PROGRESS,
        'if is_refusal(answer) and withdraw_unsent(work, gateway):',
        'if False:',
        ('test_withdrawal',),
    ),
    Mutant(
        'not run is said on the word on one of several exchanges',
        WITHDRAWAL,
        ' or work.is_finished or work.unsent_exchanges():',
        ' or work.is_finished:',
        ('test_withdrawal',),
    ),
    Mutant(
        'what was withdrawn is sent again',
        WORKS,
        ' or self.is_relayed_on or self.when_withdrawn is not None)',
        ' or self.is_relayed_on)',
        ('test_withdrawal',),
    ),
    Mutant(
        'what was withdrawn counts as run',
        WITHDRAWAL,
        '    owner.run_count -= 1\n',
        '',
        ('test_withdrawal',),
    ),
    Mutant(
        'relays do not wait for the word of the driver',
        RELAYS,
        '        if withdraw_unsent(work, gateway):\n',
        '        if False:\n',
        ('test_withdrawal',),
    ),
    Mutant(
        'what had been sent after all is relayed',
        RELAYS,
        '    if is_bound(work):\n',
        '    if False:\n',
        ('test_withdrawal',),
    ),
    Mutant(
        'a request that has left is withdrawn',
        CLIENT_CONNECTION,
        'if self.exchange_id != exchange_id or self.transport is not None:',
        'if self.exchange_id != exchange_id:',
        ('test_replica_link',),
    ),
    Mutant(
        'a request that was withdrawn leaves',
        CLIENT_CONNECTION,
        '        self.drop()\n        return True\n',
        '        return True\n',
        ('test_replica_link',),
    ),
    Mutant(
        'a run that was handed over is said not to have run',
        TICKETS,
        '    if attempt is not None and attempt.sent_ms is not None:\n',
        '    if False:\n',
        ('test_hand_over',),
    ),
    Mutant(
        'a query that was handed over is said not to have run',
        HEDGING,
        '    owner.plan.was_sent = True\n',
        '',
        ('test_hand_over',),
    ),
    Mutant(
        'a run that was not sent by its deadline is sent after it',
        UPSTREAMS,
        '        attempt.abandoned = True\n        if attempt.sent_ms is None:\n',
        '        if attempt.sent_ms is None:\n',
        ('test_hand_over',),
    ),
    Mutant(
        'what was sent over a connection that is closed counts as not sent',
        UPSTREAM_CLIENT,
        'return AttemptFailure(Reason.CONNECTION_LOST, Executed.UNKNOWN, type(error).__name__)',
        'return AttemptFailure(Reason.CONNECTION_LOST, Executed.NOT_RUN, type(error).__name__)',
        ('test_hand_over',),
    ),
    Mutant(
        'links are believed lost without probes',
        REACH_CHECKS,
        '    if reach.was_answered:\n        reach.is_doubted = False\n',
        '    if False:\n        reach.is_doubted = False\n',
        ('test_reach',),
    ),
    Mutant(
        'a late check tells something',
        REACH_CHECKS,
        'if gateway.now_ms - reach.check_due_ms > LATE_CHECK_MS:',
        'if False:',
        ('test_reach',),
    ),
    Mutant(
        'links that come and go are trusted at once',
        REACH_CHECKS,
        'min(MAX_NEEDED_ROUNDS, 2 * reach.needed_rounds) if has_relapsed else 1',
        '1',
        ('test_reach',),
    ),
    Mutant(
        'replies over open connections prove the links',
        REACH_CHECKS,
        'if len(reach.unconnected) >= needed_count:',
        'if False:',
        ('test_stranded_vms',),
    ),
    Mutant(
        'what may have run elsewhere is asked again',
        RELAYS,
        '    if failure.was_sent:\n',
        '    if False:\n',
        ('test_relays',),
    ),
    Mutant(
        'what may have run here is relayed',
        RELAYS,
        'return not work.route.is_idempotent and work.may_have_run',
        'return False',
        ('test_relays',),
    ),
    Mutant(
        'a refusal of one VM is final',
        RELAYS,
        'if answer.reason in TEMPORARY_REASONS:',
        'if False:',
        ('test_relays',),
    ),
    Mutant(
        'a VM without replicas takes relays',
        VM_REQUESTS,
        'RELAY_FILTERS = (check_readiness, check_reach, ',
        'RELAY_FILTERS = (check_readiness, ',
        ('test_relays',),
    ),
    Mutant(
        'a VM without replicas takes orders',
        VM_REQUESTS,
        '    check_order_stop,\n    check_reach,\n',
        '    check_order_stop,\n',
        ('test_relays',),
    ),
    Mutant(
        'attempts do not travel with a relay',
        VM_REQUESTS,
        'task.run_count = max(0, min(run_count, route.attempts))',
        'task.run_count = 0',
        ('test_relays',),
    ),
    Mutant(
        'a VM without replicas is asked for parts',
        AGGREGATORS,
        'if member is fleet.own or not member.reaches_replicas:',
        'if member is fleet.own:',
        ('test_stranded_vms', 'test_relays', 'test_reach'),
    ),
    Mutant(
        'callers are sent to VMs without replicas',
        MEMBERS,
        'return [member for member in serving if member.reaches_replicas] or serving',
        'return serving',
        ('test_reach',),
    ),
    Mutant(
        'an answer without parts is a quick one',
        ORDERS,
        '    if reply.answer.signatures:\n        record_latency(',
        '    if True:\n        record_latency(',
        ('test_orders',),
    ),
    Mutant(
        'a gather is hedged before its first answer',
        HOLDING,
        'return work.has_losses or bool(task.exchanges)',
        'return work.has_losses',
        ('test_deadly_requests',),
    ),
    Mutant(
        'a loss is repeated before the first answer',
        HOLDING,
        'return work.has_losses or bool(task.exchanges)',
        'return bool(task.exchanges)',
        ('test_suspicion',),
    ),
    Mutant(
        'ends of one round convict',
        SUSPICION,
        'return alone_count > 0 and any(len(ends) > 1 for ends in rounds.values())',
        'return any(len(ends) > 1 for ends in rounds.values())',
        ('test_suspicion',),
    ),
    Mutant(
        'a shared end counts for both requests',
        SUSPICION,
        'if self.by_digest[digest].round_count >= round_count:',
        'if False:',
        ('test_suspicion',),
    ),
    Mutant(
        'a conviction is for ever',
        SUSPICION,
        'if suspicion is None or now_ms - suspicion.latest_ms >= CONVICTION_MS:',
        'if suspicion is None:',
        ('test_suspicion',),
    ),
    Mutant(
        'a lost connection is an end',
        EVIDENCE,
        '    if event.is_refused:\n',
        '    if event.is_refused or event.is_open:\n',
        ('test_suspicion',),
    ),
    Mutant(
        'an answer does not acquit',
        EVIDENCE,
        '    book.clear(work.digest, gateway.now_ms)\n',
        '',
        ('test_suspicion',),
    ),
    Mutant(
        'ends are not reported',
        REPORTS,
        '    send_reports([found for found in suspicions if found is not None], hosts, gateway)\n',
        '',
        ('test_suspicion',),
    ),
    Mutant(
        'reports of strangers count',
        REPORTS,
        'if known is None or known.host != sender.host:',
        'if False:',
        ('test_suspicion',),
    ),
    Mutant(
        'ends of replicas that answer count',
        REPORTS,
        'return state.replied_ms <= end.at_ms + CLOCK_SLACK_MS',
        'return True',
        ('test_suspicion',),
    ),
    Mutant(
        'a keeper sends without a token',
        LIMITS,
        '            bucket.take()\n',
        '            pass\n',
        ('test_limit_keepers',),
    ),
    Mutant(
        'a permit costs no token',
        LIMITS,
        'if wait_ms <= 0.0:\n            bucket.take()',
        'if False:\n            bucket.take()',
        ('test_limit_keepers',),
    ),
    Mutant(
        'permits that do not help are not given back',
        LIMITS,
        'gateway.limits.buckets[replica_id].tokens += 1.0',
        'pass',
        ('test_limit_keepers',),
    ),
    Mutant(
        'a void permit is used',
        LIMITS,
        'notices.permits.count > 0 and now_ms < notices.permits.valid_until_ms',
        'notices.permits.count > 0',
        ('test_limit_keepers',),
    ),
    Mutant(
        'a reply to an earlier request lifts a limit',
        NOTICES,
        ' or exchange.sent_ms < notices.limited_ms',
        '',
        ('test_notices',),
    ),
    Mutant(
        'a replica that says it leaves stays in use',
        USABLE,
        ' or self.notices.is_leaving',
        '',
        ('test_leaving_replicas',),
    ),
    Mutant(
        'a pause is not kept',
        NOTICES,
        'notices.paused_until_ms = gateway.now_ms + pause_ms',
        'notices.paused_until_ms = gateway.now_ms',
        ('test_paused_replicas',),
    ),
    Mutant(
        'a settled ticket runs again',
        TICKETS,
        'if entry.state is TicketState.SETTLED:\n            core.counters',
        'if False:\n            core.counters',
        ('test_tickets', 'test_machine'),
    ),
    Mutant(
        'a running ticket starts again',
        TICKETS,
        'if entry.state is TicketState.RUNNING:\n            core.counters',
        'if False:\n            core.counters',
        ('test_tickets', 'test_machine'),
    ),
    Mutant(
        'a lost attempt is retried',
        TICKETS,
        'if failure.executed is not Executed.NOT_RUN:',
        'if False:',
        ('test_tickets', 'test_machine'),
    ),
    Mutant(
        'a sent attempt is reported as not run',
        TICKETS,
        'if attempt is not None and attempt.sent_ms is not None:',
        'if False:',
        ('test_tickets', 'test_machine'),
    ),
    Mutant(
        'a forgotten ticket is reported as not run',
        TICKETS,
        "unknown(Reason.TICKET_FORGOTTEN, 'ticket not in the table')",
        "not_run(Reason.TICKET_FORGOTTEN, 'ticket not in the table')",
        ('test_tickets', 'test_machine'),
    ),
    Mutant(
        'a successor accepts a ticket of its predecessor',
        TICKETS,
        'if issuer == core.identity:',
        'if issuer.name == core.identity.name:',
        ('test_tickets',),
    ),
    Mutant(
        'a ticketed request uses an idle connection',
        TICKETS,
        'TICKET_URGENCY, run.deadline_at_ms, requires_new=True',
        'TICKET_URGENCY, run.deadline_at_ms, requires_new=False',
        ('test_tickets',),
    ),
    Mutant(
        'an older configuration is accepted',
        CONFIGURATION,
        'if document.generation < self.generation:',
        'if False:',
        ('test_configuration', 'test_machine'),
    ),
    Mutant(
        'a second document of a generation is accepted',
        CONFIGURATION,
        'if document.generation == self.generation:',
        'if False:',
        ('test_configuration', 'test_machine'),
    ),
    Mutant(
        'configuration is not compared by gossip',
        'beechbridge/core/fleet/inbox.py',
        'core.configuration.compare_gossip(vm, message.generation, message.digest, core)',
        'pass',
        ('test_configuration',),
    ),
    Mutant(
        'partials of another range are merged',
        FANOUT,
        'if found != expected:',
        'if False:',
        ('test_repartition', 'test_snapshots'),
    ),
    Mutant(
        'replies to another attempt are accepted',
        EXCHANGES,
        'return reply.attempt_id == attempt.attempt_id',
        'return True',
        ('test_replies',),
    ),
    Mutant(
        'collected partials survive a new snapshot',
        FANOUT,
        'plan.tasks = {shard.shard_id: Task(plan, shard) for shard in choice.shard_map.shards}',
        'plan.tasks = plan.tasks or {s.shard_id: Task(plan, s) for s in choice.shard_map.shards}',
        ('test_snapshots', 'test_repartition'),
    ),
    Mutant(
        'a drain signal is ignored',
        UPSTREAMS,
        'state is None or state.is_draining or state.pool.share == 0:\n'
        '                continue\n            if replica',
        'state is None or state.pool.share == 0:\n'
        '                continue\n            if replica',
        ('test_drain',),
    ),
    Mutant(
        'a healthy endpoint ends a drain at once',
        HEALTH,
        'if state.drain_seen_ms is None or core.now_ms - state.drain_seen_ms < DRAIN_HOLD_MS:',
        'if state.drain_seen_ms is None:',
        ('test_drain',),
    ),
    Mutant(
        'drain signals are not gossiped',
        HEALTH,
        'if not draining and replica_id not in monitored:',
        'if replica_id not in monitored:',
        ('test_drain',),
    ),
    Mutant(
        'silent connections are not counted',
        EXCHANGES,
        'attempt.hold_ms = SILENT_HOLD_MS\n    core.counters',
        'attempt.hold_ms = 0.0\n    core.counters',
        ('test_silent',),
    ),
    Mutant(
        'stalled exchanges are not detected',
        UPSTREAMS,
        'core.timers.arm(core.now_ms + stall_timeout_ms, StallTimer(attempt.attempt_id))',
        'pass',
        ('test_silent',),
    ),
    Mutant(
        'the reserve of connections is used up',
        'beechbridge/core/upstreams/connections.py',
        'if not requires_new and len(self.idle) + len(self.busy) >= self.usable:',
        'if False:',
        ('test_connections',),
    ),
    Mutant(
        'hedges have no budget',
        'beechbridge/core/requests/hedging.py',
        'if not core.budget(plan.query.back_end).try_acquire():',
        'if False:',
        ('test_hedging',),
    ),
    Mutant(
        'late queries are not rejected',
        'beechbridge/core/requests/filters.py',
        'if total - late_count >= plan.rules.minimum_coverage * total and late_count < total:',
        'if True:',
        ('test_overload',),
    ),
    Mutant(
        'a process pause is not detected',
        'beechbridge/core/node.py',
        'if due_ms is not None and self.now_ms - due_ms > PAUSE_MS:',
        'if False:',
        ('test_pause',),
    ),
    Mutant(
        'no share is reserved for spare VMs',
        'beechbridge/core/upstreams/shares.py',
        'fleet_size = len(vm_names) + spare_vms',
        'fleet_size = max(1, len(vm_names))',
        ('test_shares',),
    ),
    Mutant(
        'shares follow heartbeats, not the VM list',
        UPSTREAMS,
        'names = core.membership.share_names(core.now_ms)',
        'names = list(core.membership.serving_names(core.now_ms))',
        ('test_shares',),
    ),
    Mutant(
        'a stopping VM exits with work in flight',
        'beechbridge/core/fleet/stopping.py',
        'if self.phase is Phase.FINISHING and not core.plans and core.tickets.is_idle():',
        'if self.phase is Phase.FINISHING:',
        ('test_stop',),
    ),
    Mutant(
        'a leaving VM stays in entry answers',
        'beechbridge/core/fleet/membership.py',
        'if core.stopping.is_leaving:\n            vms =',
        'if False:\n            vms =',
        ('test_stop',),
    ),
    Mutant(
        'a leaving VM stops serving at once',
        'beechbridge/core/fleet/stopping.py',
        'self.serve_until_ms = core.now_ms + keep_ms + PROPAGATION_MS',
        'self.serve_until_ms = core.now_ms',
        ('test_stop',),
    ),
    Mutant(
        'a gateway exits without answering what is in flight',
        GATEWAY_STOPPING,
        'for key in gateway.works:',
        'for key in ():',
        ('test_planned_stops',),
    ),
    Mutant(
        'a stopping gateway takes requests that outlast it',
        GATEWAY_STOPPING,
        'if not stopping.is_too_late(gateway.now_ms, ends_ms):',
        'if not stopping.is_closed:',
        ('test_planned_stops',),
    ),
    Mutant(
        'an exit does not wait for answers being sent',
        'beechbridge/daemon/closing.py',
        "is_sent = not counts['connections'] and not counts['unanswered']",
        'is_sent = True',
        ('test_front',),
    ),
    Mutant(
        'an older routing table comes into force',
        STORE_UPDATES,
        'if current is not None and table.version <= current.version:',
        'if False:',
        ('test_store_updates', 'test_epochs'),
    ),
    Mutant(
        'changes of an earlier epoch are applied',
        STORE_UPDATES,
        'if event.epoch < gateway.view.epoch:',
        'if False:',
        ('test_restoration', 'test_epochs'),
    ),
    Mutant(
        'an older revision replaces a newer one',
        STORE_VIEW,
        'if change.revision <= known_revision:',
        'if False:',
        ('test_store_updates', 'test_epochs'),
    ),
    Mutant(
        'a draining replica is ready after a restoration',
        RESTORATION,
        'return known.is_draining and not entry.is_draining',
        'return False',
        ('test_epochs',),
    ),
    Mutant(
        'a removed replica is back after a restoration',
        RESTORATION,
        'if is_removed(decoded, item.key, gateway):',
        'if False:',
        ('test_epochs',),
    ),
    Mutant(
        'revisions of two epochs are compared',
        STORE_VIEW,
        'self.items[key] = Item(key, item.value, 0)',
        'self.items[key] = item',
        ('test_epochs',),
    ),
    Mutant(
        'no account for heads',
        CALLER_CHANNEL,
        'if not self.app.memory.hold_head(self):',
        'if False:',
        ('test_memory_account',),
    ),
    Mutant(
        'no account for pipelined requests',
        CALLER_CHANNEL,
        'for request in list(self.requests):\n            byte_count += request.head_bytes()',
        'pass',
        ('test_memory_account',),
    ),
    Mutant(
        'a running request is not counted beside one that was turned away',
        'beechbridge/daemon/client_memory.py',
        '                part.note(channel, byte_count, now_ms, channel.urgency)\n',
        '                pass\n',
        ('test_memory_account',),
    ),
    Mutant(
        'any number of pipelined requests is parsed',
        CALLER_CHANNEL,
        'return len(requests) >= self.app.max_pipelined or',
        'return',
        ('test_memory_account',),
    ),
    Mutant(
        'descriptors are not kept for replicas, peers and the store',
        PLATFORM_SETTINGS,
        'derived = int(CLIENT_FRACTION * (limits.max_fds - FILE_DESCRIPTORS))',
        'derived = limits.max_fds',
        ('test_platform_items',),
    ),
    Mutant(
        'connections that send are closed first',
        CONNECTIONS,
        'return heapq.nsmallest(',
        'return heapq.nlargest(',
        ('test_memory_account',),
    ),
    Mutant(
        'the most urgent are turned away first',
        MEMORY_ACCOUNT,
        'rank = (holding.urgency,',
        'rank = (-holding.urgency,',
        ('test_memory_account',),
    ),
    Mutant(
        'a request that may run is turned away',
        MEMORY_ACCOUNT,
        'if may_give_up is None or may_give_up(channel):',
        'if True:',
        ('test_memory_account',),
    ),
    Mutant(
        'an answer waits until the last moment',
        ANSWER_TIME,
        '        if worth > best_worth:',
        '        if True:',
        ('test_answer_time',),
    ),
    Mutant(
        'a late answer is worth as much',
        ANSWER_TIME,
        'LATE_WORTH = 0.1',
        'LATE_WORTH = 1.0',
        ('test_answer_time',),
    ),
    Mutant(
        'delays of answers are not learned',
        ANSWER_TIME,
        '        self.ordered_ms = sorted(self.delays_ms)\n',
        '',
        ('test_answer_time',),
    ),
    Mutant(
        'the time before the request was read counts as left',
        GATHER_TIMING,
        '        waited_ms = max(0.0, work.arrived_ms - event.read_ms)',
        '        waited_ms = 0.0',
        ('test_answer_time',),
    ),
    Mutant(
        'a hedge may come too late',
        GATHER_TIMING,
        '    return gateway.now_ms + fastest_other_ms(task, None, gateway) > until_ms',
        '    return False',
        ('test_answer_time',),
    ),
    Mutant(
        'a hedge does not regard the goal',
        GATHER_TIMING,
        '    return min(delay_ms, late_ms)',
        '    return delay_ms',
        ('test_answer_time',),
    ),
    Mutant(
        'answers are timed without the contract',
        GATHER_TIMING,
        '    is_timed = times.is_in_force and isinstance(event, RequestReceived)',
        '    is_timed = isinstance(event, RequestReceived)',
        ('test_answer_time',),
    ),
    Mutant(
        'a replica that has answered is in its pause',
        PAUSES,
        'max(exchange.sent_ms, state.replied_ms)',
        'exchange.sent_ms',
        ('test_answer_time',),
    ),
    Mutant(
        'a written answer is not reported',
        ANSWER_CLOCK,
        '        if due_ms is not None and self.connected:',
        '        if False:',
        ('test_answer_time',),
    ),
    Mutant(
        'any number of requests wait for the table',
        START_QUEUE,
        'len(queue.held) >= MAX_HELD_REQUESTS',
        'False',
        ('test_restart_load',),
    ),
    Mutant(
        'a request waits for the table as long as it takes',
        START_QUEUE,
        'due_ms = min(due_ms, event.read_ms + OUTAGE',
        'due_ms = max(due_ms, event.read_ms + OUTAGE',
        ('test_restart_load',),
    ),
    Mutant(
        'requests are held without the contract',
        START_QUEUE,
        'gateway.table is not None or not gateway.answer_time.is_in_force',
        'gateway.table is not None',
        ('test_restart_load',),
    ),
    Mutant(
        'clients are listened for without the contract',
        EARLY_LISTENER,
        "        if UNEVEN_LOAD_CONTRACTS.isdisjoint(settings['contracts']):",
        '        if False:',
        ('test_early_listener',),
    ),
    Mutant(
        'less urgent classes starve',
        ROOM,
        '    if room.turn >= FAIR_TURN:',
        '    if False:',
        ('test_room',),
    ),
    Mutant(
        'the turn of a class is refused by the limit',
        ROOM_QUEUE,
        'if task.is_next or route.is_gather',
        'if route.is_gather',
        ('test_room',),
    ),
    Mutant(
        'parts of gathers use up the limit',
        ROOM_QUEUE,
        'is_in_force and not task.work.route.is_gather:',
        'is_in_force:',
        ('test_room',),
    ),
    Mutant(
        'rejected clients return at once',
        ROOM,
        'due_ms + (0.0 if self.limit == math.inf else gap_ms)',
        'now_ms',
        ('test_room',),
    ),
    Mutant(
        'the limit does not follow the latency',
        ROOM,
        '        gradient = max(MIN_GRADIENT, gradient)',
        '        gradient = 1.0',
        ('test_room',),
    ),
    Mutant(
        'the limit falls below the slots',
        ROOM,
        'max(MIN_LIMIT, least_limit, ',
        'max(MIN_LIMIT, ',
        ('test_room',),
    ),
    Mutant(
        'urgent requests wait for long work',
        ROOM,
        '        if is_most_urgent:',
        '        if False:',
        ('test_room',),
    ),
    Mutant(
        'a request waits that cannot be served in time',
        ROOM_QUEUE,
        '    if gateway.now_ms + needed_ms <= work.hard_at_ms:\n        return True\n'
        "    gateway.counters.add('requests_without_room'",
        "    return True\n    gateway.counters.add('requests_without_room'",
        ('test_room',),
    ),
)


def copy_tree(names: tuple[str, ...], root: Path) -> None:
    """Copy directories of the repository into a root directory."""
    for name in names:
        shutil.copytree(ROOT / name, root / name, ignore=shutil.ignore_patterns('__pycache__'))
    # Tests of known faults are skipped only where they are listed.
    if KNOWN_RED_FILE.exists():
        shutil.copy(KNOWN_RED_FILE, root)


def replace_once(path: Path, old: str, new: str) -> str:
    """Replace a text that occurs exactly once in a file; return the error, or an empty text."""
    text = path.read_text()
    if text.count(old) != 1:
        return f'NOT APPLIED: text found {text.count(old)} times'
    path.write_text(text.replace(old, new))
    return ''


def run_mutant(mutant: Mutant) -> str:
    """Return 'noticed' if a test fails, 'MISSED' if none does, or why it was not applied."""
    with tempfile.TemporaryDirectory(prefix='mutant-') as folder:
        root = Path(folder)
        copy_tree(COPIED, root)
        problem = replace_once(root / mutant.file, mutant.old, mutant.new)
        if problem:
            return problem
        return 'MISSED' if tests_pass(root, mutant.tests) else 'noticed'


def tests_pass(root: Path, tests: tuple[str, ...]) -> bool:
    """Return whether test modules of a copy of the tree pass."""
    modules = [f'tests.{name}' for name in tests]
    done = subprocess.run(
        [sys.executable, '-m', 'nose2', '-F', '-s', 'tests', '-t', '.', *modules],
        cwd=root,
        capture_output=True,
        timeout=TIMEOUT_S,
        check=False,
    )
    return done.returncode == 0


def list_broken_tests() -> list[str]:
    """Return the test modules that fail without a mutant, which would notice anything."""
    names = sorted({name for mutant in MUTANTS for name in mutant.tests})
    with tempfile.TemporaryDirectory(prefix='mutant-') as folder:
        root = Path(folder)
        copy_tree(COPIED, root)
        with ThreadPoolExecutor(WORKERS) as executor:
            results = executor.map(lambda name: tests_pass(root, (name,)), names)
            return [name for name, passed in zip(names, results, strict=True) if not passed]


def main() -> int:
    """Run all mutants and return the exit status."""
    broken = list_broken_tests()
    if broken:
        print(f'fail without a mutant: {", ".join(broken)}')
        return 1
    with ThreadPoolExecutor(WORKERS) as executor:
        verdicts = list(executor.map(run_mutant, MUTANTS))
    for mutant, verdict in zip(MUTANTS, verdicts, strict=True):
        print(f'{mutant.name:<50}{verdict}')
    return 0 if all(verdict == 'noticed' for verdict in verdicts) else 1


if __name__ == '__main__':
    sys.exit(main())
