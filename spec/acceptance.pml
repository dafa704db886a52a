// Acceptance of a configuration: staging at every VM, one conditional update of the root object,
// cuts between VMs and from the platform, restarting VMs, lost answers and late writes.
//
// A proposer and a rival race on VM 0, which stays connected; VMs 1 and 2 are cut off and
// restarted. The rival stages in one step, loses no answer and does not die. Properties:
//   - a VM that serves version c while the root holds a higher version r has staged every change
//     between the two, so that it is in doubt about them (check);
//   - no VM goes back, also over a restart (check);
//   - a proposal that was answered as rejected is never accepted (write).
//
// Times are abstract: a VM may settle an undecided proposal at any moment, and "waited" means that
// the proposals that were under way at a VM's start have ended, writes on their way included.
//
// Each of these variants is wrong:
//   NO_STAGING           the root is updated without staging
//   ONE_ROUND            every VM is asked to stage once only
//   UNREACHABLE_IGNORED  a VM that cannot be reached does not reject the proposal
//   UNCONDITIONAL        the update of the root is not conditional
//   LOST_IS_REJECTED     a lost answer of the platform counts as a rejection
//   ADOPT_OLDER          a VM adopts whatever version it hears last
//   TRUST_UNDECIDED      a peer that holds an undecided proposal vouches for its version
//   NO_WAIT              a VM without a peer starts before earlier proposals have ended
// broken: NO_STAGING
// broken: ONE_ROUND
// broken: UNREACHABLE_IGNORED
// broken: UNCONDITIONAL
// broken: LOST_IS_REJECTED
// broken: ADOPT_OLDER
// broken: TRUST_UNDECIDED
// broken: NO_WAIT

#define VMS 3
#define PROPOSALS 2
#define MAX_VERSION 3
#define MAX_REVISION 3

#ifdef ONE_ROUND
#define ROUNDS 1
#else
#define ROUNDS 2
#endif

mtype = { idle, proposing, accepted, rejected, unknown };

byte root = 1;                // version that the root object holds
byte revision = 1;            // revision of the root object
byte change[MAX_VERSION + 1]; // proposal that each version came from
byte current[VMS];            // version known to each VM
byte highest[VMS];            // highest version that each VM had in force
bool ready[VMS];
byte staged[VMS];             // bit p: proposal p is held undecided
bool platform[VMS];           // the VM reaches the platform
bit side[VMS];                // VMs on the same side reach each other
byte underway[VMS];           // proposals that were under way when the VM started
byte base[PROPOSALS + 1];     // revision that the proposal's update expects
byte target[PROPOSALS + 1];   // version that the proposal would be
mtype outcome[PROPOSALS + 1];
bool late[PROPOSALS + 1];     // a write that may still arrive
byte cuts = 1;                // budget of cuts
byte losses = 1;              // budget of lost answers and late writes
byte restarts = 1;

// Scratch variables of the steps below; they are zero between steps.
byte vm_, version_, proposal_;

#define BIT(p) (1 << (p))
#define REACH(i, j) (side[i] == side[j])

// check asserts the invariant of every VM that serves.
inline check() {
    d_step {
        vm_ = 1;
        do
        :: vm_ < VMS ->
            if
            :: ready[vm_] ->
                assert(current[vm_] >= highest[vm_]);
                highest[vm_] = current[vm_];
                version_ = current[vm_] + 1;
                do
                :: version_ <= root ->
                    assert(staged[vm_] & BIT(change[version_]));
                    version_++
                :: else -> break
                od
            :: else
            fi;
            vm_++
        :: else -> break
        od;
        vm_ = 0;
        version_ = 0
    }
}

// adopt makes version v the one known to VM i and drops the proposals that it decides. r is the
// revision of the root object that v was read at, or 0 if a VM told it.
inline adopt(i, v, r) {
    d_step {
        if
#ifdef ADOPT_OLDER
        :: true ->
#else
        :: v > current[i] ->
#endif
            current[i] = v
        :: else
        fi;
        proposal_ = 1;
        do
        :: proposal_ <= PROPOSALS ->
            if
            :: target[proposal_] <= current[i] || base[proposal_] < r -> staged[i] = staged[i] & ~BIT(proposal_)
            :: else
            fi;
            proposal_++
        :: else -> break
        od;
        proposal_ = 0
    }
}

// write makes proposal p the next version of the root.
inline write(p) {
    assert(outcome[p] != rejected);
    root++;
    revision++;
    change[root] = p;
    check()
}

#ifdef UNCONDITIONAL
#define MAY_WRITE(p) (revision < MAX_REVISION)
#else
#define MAY_WRITE(p) (revision == base[p])
#endif

#define ACCEPTED_AS(p) ((change[2] == p) -> 2 : ((change[3] == p) -> 3 : 0))

// conclude_accepted tells VMs 1 and 2 that proposal p was accepted; each call may be lost.
inline conclude_accepted(p) {
    atomic {
        if
        :: REACH(0, 1) -> adopt(1, ACCEPTED_AS(p), 0)
        :: true
        fi;
        if
        :: REACH(0, 2) -> adopt(2, ACCEPTED_AS(p), 0)
        :: true
        fi;
        check()
    }
}

// conclude_rejected tells VMs 1 and 2 that proposal p was rejected; each call may be lost.
inline conclude_rejected(p) {
    atomic {
        if
        :: REACH(0, 1) -> staged[1] = staged[1] & ~BIT(p)
        :: true
        fi;
        if
        :: REACH(0, 2) -> staged[2] = staged[2] & ~BIT(p)
        :: true
        fi;
        check()
    }
}

proctype Proposer(byte p) {
    byte i = 1;
    byte round;

    // The proposer reads the root and stages the proposal on its own VM.
    atomic {
        if
        :: revision < MAX_REVISION ->
            adopt(0, root, revision);
            base[p] = revision;
            target[p] = root + 1;
            staged[0] = staged[0] | BIT(p);
            outcome[p] = proposing
        :: goto done
        fi
    };
#ifndef NO_STAGING
    do
    :: round < ROUNDS ->
        atomic {
            if
            :: REACH(0, i) && target[p] > current[i] ->
                staged[i] = staged[i] | BIT(p);
                if
                :: true
                :: losses > 0 -> losses--; goto reject // the answer is lost
                fi
            :: REACH(0, i) && target[p] <= current[i] -> goto reject
#ifdef UNREACHABLE_IGNORED
            :: !REACH(0, i)
#else
            :: !REACH(0, i) -> goto reject
#endif
            fi;
            if
            :: i < VMS - 1 -> i++
            :: else -> i = 1; round++
            fi
        }
    :: else -> break
    od;
#endif
    atomic {
        if
        :: MAY_WRITE(p) ->
            write(p);
            if
            :: goto accept
            :: losses > 0 -> losses--; goto settle
            fi
        :: !MAY_WRITE(p) -> goto reject
        :: losses > 0 -> losses--; late[p] = true; goto settle
        :: outcome[p] = unknown; goto done // the proposer dies
        fi
    };
settle:
#ifdef LOST_IS_REJECTED
    goto reject;
#endif
    atomic {
        if
        :: ACCEPTED_AS(p) > 0 -> goto accept
        :: ACCEPTED_AS(p) == 0 && MAY_WRITE(p) -> write(p); goto accept
        :: ACCEPTED_AS(p) == 0 && !MAY_WRITE(p) -> goto reject
        :: outcome[p] = unknown; goto done // the platform stays away
        fi
    };
accept:
    atomic {
        outcome[p] = accepted;
        adopt(0, ACCEPTED_AS(p), 0)
    };
    conclude_accepted(p);
    goto done;
reject:
    atomic {
        assert(ACCEPTED_AS(p) == 0);
        outcome[p] = rejected;
        staged[0] = staged[0] & ~BIT(p)
    };
    conclude_rejected(p);
done:
    i = 0;
    round = 0
}

proctype Rival(byte p) {
    atomic {
        if
        :: revision < MAX_REVISION && REACH(0, 1) && REACH(0, 2) && current[1] <= root && current[2] <= root ->
            adopt(0, root, revision);
            base[p] = revision;
            target[p] = root + 1;
            outcome[p] = proposing;
            staged[0] = staged[0] | BIT(p);
            staged[1] = staged[1] | BIT(p);
            staged[2] = staged[2] | BIT(p)
        :: goto done
        fi
    };
    atomic {
        if
        :: MAY_WRITE(p) -> write(p); outcome[p] = accepted; adopt(0, root, revision)
        :: !MAY_WRITE(p) -> outcome[p] = rejected; staged[0] = staged[0] & ~BIT(p); goto reject
        fi
    };
    conclude_accepted(p);
    goto done;
reject:
    conclude_rejected(p);
done:
    skip
}

// ask gathers what peer j says to the starting VM i.
inline ask(i, j) {
    if
    :: !REACH(i, j)
    :: REACH(i, j) && losses > 0 -> losses--
#ifdef TRUST_UNDECIDED
    :: REACH(i, j) && ready[j] -> vouched = true; adopt(i, current[j], 0)
    :: REACH(i, j) && !ready[j]
#else
    :: REACH(i, j) && staged[j] != 0 -> undecided = true
    :: REACH(i, j) && staged[j] == 0 && ready[j] -> vouched = true; adopt(i, current[j], 0)
    :: REACH(i, j) && staged[j] == 0 && !ready[j]
#endif
    fi
}

#define ENDED(p) (outcome[p] != proposing && !late[p])

#ifdef NO_WAIT
#define WAITED(i) true
#else
#define WAITED(i) ((!(underway[i] & BIT(1)) || ENDED(1)) && (!(underway[i] & BIT(2)) || ENDED(2)))
#endif

// VM learns from the platform and its peers, settles undecided proposals, and starts after a restart.
proctype VM(byte i; byte other) {
    bool undecided, vouched, asked;

end:
    do
    :: atomic { platform[i] && (current[i] < root || staged[i] != 0) -> adopt(i, root, revision); check() }
    :: atomic { ready[i] && REACH(i, 0) && current[0] > current[i] -> adopt(i, current[0], 0); check() }
    :: atomic { ready[i] && REACH(i, other) && ready[other] && current[other] > current[i] -> adopt(i, current[other], 0); check() }
    :: atomic {
            // Writes the root again without a change, so that an undecided proposal cannot be accepted.
            platform[i] && revision < MAX_REVISION &&
            (((staged[i] & BIT(1)) && base[1] == revision) || ((staged[i] & BIT(2)) && base[2] == revision)) ->
            revision++;
            adopt(i, root, revision);
            check()
        }
    :: atomic {
            // The peers are asked before the root is read.
            !ready[i] && !asked ->
            asked = true;
            ask(i, 0);
            ask(i, other)
        }
    :: atomic {
            !ready[i] && asked ->
            if
            :: platform[i] -> adopt(i, root, revision)
            :: else
            fi;
            if
            :: !undecided && current[i] > 0 && (vouched || (platform[i] && WAITED(i))) -> ready[i] = true; check()
            :: else
            fi;
            asked = false;
            undecided = false;
            vouched = false
        }
    od
}

inline restart(i) {
    restarts > 0 && ready[i] ->
    restarts--;
    ready[i] = false;
    current[i] = 0;
    staged[i] = 0;
    underway[i] = (ENDED(1) -> 0 : BIT(1)) | (ENDED(2) -> 0 : BIT(2))
}

inline arrive(p) {
    late[p] ->
    late[p] = false;
    if
    :: MAY_WRITE(p) -> write(p)
    :: else
    fi
}

// Faults cuts VMs 1 and 2 off, restarts them and delivers late writes.
proctype Faults() {
end:
    do
    :: atomic { cuts > 0 -> cuts--; side[1] = 1; side[2] = 1; platform[1] = false; platform[2] = false }
    :: atomic { cuts > 0 -> cuts--; side[2] = 1 }
    :: atomic { cuts > 0 -> cuts--; platform[2] = false }
    :: atomic { restart(1) }
    :: atomic { restart(2) }
    :: atomic { arrive(1) }
    od
}

init {
    atomic {
        current[0] = 1; current[1] = 1; current[2] = 1;
        highest[1] = 1; highest[2] = 1;
        ready[0] = true; ready[1] = true; ready[2] = true;
        platform[1] = true; platform[2] = true;
        outcome[1] = idle; outcome[2] = idle;
        run Proposer(1); run Rival(2);
        run VM(1, 2); run VM(2, 1);
        run Faults()
    }
}
