package org.laurelweir.pgm;

/** The texts that the command line shows; some are patterns for {@link String#format}. */
public final class Texts {
    public static final String PROGRAM = "laurelweir";
    public static final String PROGRAM_DESCRIPTION = "Operates a fleet of routers.";
    public static final String SETTINGS = "settings";
    public static final String SETTINGS_GROUP = "Reads and changes the settings tree.";

    public static final String GET = "Shows settings nodes as a file that apply takes.";
    public static final String SET = "Sets keys of one settings node, all or nothing.";
    public static final String EDIT =
            "Opens settings nodes in $VISUAL or $EDITOR and applies them.";
    public static final String DIFF = "Shows what apply would change; status 1 if anything.";
    public static final String APPLY = "Makes the settings tree agree with a file.";
    public static final String HISTORY = "Lists accepted changes, the newest first.";
    public static final String CHECK = "Checks settings files of any program, with every fault.";
    public static final String DRAIN = "Lets a backend server finish and take no new work.";
    public static final String UNDRAIN = "Lets a drained backend server take work again.";
    public static final String DATA_CENTRE = "data-centre";
    public static final String DATA_CENTRE_GROUP =
            "Empties data centres of requests, and takes them back.";
    public static final String DATA_CENTRE_DRAIN =
            "Keeps new requests away from all backend servers of a data centre.";
    public static final String DATA_CENTRE_UNDRAIN =
            "Lets the backend servers of a drained data centre take requests again.";
    public static final String DATA_CENTRE_LIST =
            "Lists the drained data centres, with who ordered it and since when.";
    public static final String RELEASE =
            "Lets a request, or a part of prompts, be sent again that is kept away from backend"
                    + " servers.";
    public static final String STATUS = "Shows control instances, backend servers and routers.";
    public static final String EXPLAIN = "Shows the decisions for a request or chat, with inputs.";
    public static final String ORDER = "Orders a backend server to load something or change role.";
    public static final String COMPLETION = "Prints a completion script for bash.";

    public static final String REPLICA = "replica";
    public static final String REPLICA_GROUP = "Changes which control instances hold the log.";
    public static final String REPLICA_ADD = "Lets a replica copy the log, without a vote yet.";
    public static final String REPLICA_PROMOTE = "Gives a replica that has caught up a vote.";
    public static final String REPLICA_REMOVE = "Takes a replica out of the log's membership.";
    public static final String REPLICA_REPLACE =
            "Puts a control instance's new disk in place of its lost one: add, promote, remove.";

    public static final String OPTION_CONTROL =
            "Control instances, host:port parted by commas; $LAURELWEIR_CONTROL if absent.";
    public static final String OPTION_TIMEOUT = "Longest wait for one answer, in seconds.";
    public static final String OPTION_HELP = "Shows this help.";
    public static final String OPTION_JSON = "Write the result as one JSON document.";
    public static final String OPTION_AUTHOR =
            "Who changes; the user who runs the command if absent.";
    public static final String OPTION_CHANGE_ID =
            "Id of an earlier invocation that got no answer, to send it again safely.";
    public static final String OPTION_EXPECT =
            "Version of the node that you saw, 0 for none; the present one if absent.";
    public static final String OPTION_EFFECTIVE =
            "Show what holds for the path's levels, and the node each value comes from.";
    public static final String OPTION_POSITION = "Show the tree as of an earlier position.";
    public static final String OPTION_UNSET = "Key that the node shall inherit again; repeatable.";
    public static final String OPTION_DELETE = "Remove the node.";
    public static final String OPTION_PRUNE = "Also remove nodes that the file lacks.";
    public static final String OPTION_LIMIT = "Most entries to show.";
    public static final String ARGUMENT_PATH =
            "Node such as /region=vestkyst/service=seilhjerne; / is the deployment.";
    public static final String ARGUMENT_PATH_OR_ALL = ARGUMENT_PATH + " Every node if absent.";
    public static final String ARGUMENTS_SET = "The node's path, then KEY=VALUE pairs.";
    public static final String ARGUMENT_TREE_FILE = "File of settings nodes, as get writes it.";
    public static final String ARGUMENT_FILES = "Settings files.";
    public static final String ARGUMENT_BACKEND = "The backend server's name.";
    public static final String ARGUMENT_DATA_CENTRE = "The data centre's name.";
    public static final String OPTION_ACCOUNT =
            "The client account; none for a route that needs no key.";
    public static final String ARGUMENT_FINGERPRINT =
            "The request's fingerprint, or the part's id, as status shows it.";
    public static final String OPTION_PROMPT_PART = "Releases a part of prompts, not a request.";
    public static final String PROMPT_PART = "prompt part";
    public static final String REQUEST = "request";
    public static final String ARGUMENT_SUBJECT =
            "A request's name or a chat's key; the newest decisions if absent.";
    public static final String ARGUMENTS_ORDER =
            "The backend server's name, the order's kind and its argument.";

    public static final String ARGUMENT_REPLICA = "NAME#ID as status shows it.";
    public static final String ARGUMENT_CONTROL = "The control instance's name.";

    public static final String NO_CONTROL =
            "name a control instance: --control or $LAURELWEIR_CONTROL";
    public static final String NO_ANSWER = "no control instance answered: %s";
    public static final String NO_ANSWER_CHANGE =
            "%s; the change may be in force or not: send it again with --change-id %s";
    public static final String NOT_A_PAIR = "not KEY=VALUE: %s";
    public static final String NOTHING_TO_SET = "name a KEY=VALUE, --unset or --delete";
    public static final String DELETE_ALONE = "--delete takes no keys";
    public static final String EDIT_BY_SCRIPT =
            "edit is carried out by the script bin/laurelweir: this program starts no editor";
    public static final String NO_SUCH_NODE = "no such node: %s";
    public static final String NO_SUCH_BACKEND = "no such backend server: %s";
    public static final String FILE_UNREADABLE = "%s: cannot be read: %s";
    public static final String CONFLICT = "%s stands at version %d by now: %s";
    public static final String NOT_ACCEPTED = "nothing was changed";
    public static final String NO_CHANGE = "nothing to change";
    public static final String CHANGED = "in force at position %d (change %s)";
    public static final String NO_FAULT = "%s: no fault";
    public static final String OVERLAP =
            "%s:%d: %s: the route of %s takes %s, which routers answer with their list of models"
                    + " where no route does";
    public static final String DRAIN_ORDERED =
            "%s takes no new work; see status for what still runs";
    public static final String UNDRAIN_ORDERED = "%s takes work again";
    public static final String DATA_CENTRE_DRAINED =
            "the backend servers of %s take no new requests; those under way go on";
    public static final String DATA_CENTRE_UNDRAINED =
            "the backend servers of %s take requests again";
    public static final String RELEASED = "%s %s is sent to backend servers again";
    public static final String NOT_A_FINGERPRINT = "not a fingerprint: %s";
    public static final String ORDER_TAKEN = "%s took the order under fence %d";
    public static final String NOT_A_REPLICA = "not NAME#ID: %s";
    public static final String NO_SUCH_CONTROL = "control instance %s is not heard of";
    public static final String NO_LEADER = "no control instance leads now";
    public static final String MEMBERS = "voters: %s; learners: %s";
    public static final String SILENT_PROGRAM = "no answer from %s at %s: %s";
    public static final String OPTION_HOST =
            "Host of a request that is not sent: shows where it would go now.";
    public static final String OPTION_REQUEST_PATH = "Path of that request.";
    public static final String OPTION_REQUEST_ACCOUNT = "Client account of that request.";
    public static final String OPTION_PARTS = "Parts of its prompt, ID:TOKENS by commas.";
    public static final String OPTION_TOKENS =
            "Tokens of its prompt and the most to generate; the sum of the parts and 0 if absent.";
    public static final String OPTION_ROUTER =
            "Router to ask, as in status; the first that answers if absent.";
    public static final String OPTION_FORMAT = "text or json; json is the same as --json.";
    public static final String UNKNOWN_FORMAT = "--format is text or json";
    public static final String HOST_AND_PATH = "--host and --path, which begins with /, are needed";
    public static final String NO_ROUTER = "no router answers, or none has that name";
    public static final String UNSENT_ROUTE =
            "at %s: route %s, account %s, priority %d, %d ms left, objective %d ms, attempts %d,"
                    + " %s";
    public static final String UNSENT_SERVICE = "service %s, weight %.2f: %d serving, mean load %s";
    public static final String UNSENT_CHOICE = "  sent to %s, %s, bound %s";
    public static final String UNSENT_REFUSAL =
            "%srefused with %d %s: %s; retry after at most %d ms";
    public static final String UNSENT_COLUMNS =
            "SERVER,DATA CENTRE,VERSION,LOAD,AGE MS,OWN,SLOTS,TOKENS,MEMORY,FAILED,STATE";

    public static final String NO_DECISION = "no decision found";
    public static final String DEFAULT_ORIGIN = "default";

    public static final String SETTINGS_POSITION = "settings position %d";
    public static final String LOSSES_PROMISED = "losses the log can bear now: %d of %d promised";
    public static final String LOSSES_POSSIBLE =
            "losses the log can bear now: %d of %d possible with all voters";
    public static final String LOSSES_TOO_FEW_VOTERS = ", %d possible with all voters";
    public static final String LOSSES_MISSING = "; missing: ";
    public static final String LOSSES_UNKNOWN =
            "losses the log can bear now: unknown, no control instance leads as far as known here";
    public static final String VOTER_SILENT = "%s (silent for %d s)";
    public static final String VOTER_BEHIND = "%s (behind)";
    public static final String VOTER_LOST_DISK = "%s (its disk is lost)";
    public static final String CONTROL_COLUMNS =
            "REPLICA,ADDRESS,ROLE,TERM,APPLIED,COMMITTED,STATE";
    public static final String SERVICE_COLUMNS = "SERVICE,BACKEND SERVERS,MEAN WORK";
    public static final String BACKEND_COLUMNS =
            "BACKEND SERVER,SERVICE,VERSION,DATA CENTRE,ADDRESS,STATE,RUNNING,WAITING,WORK";
    public static final String VERSION_COLUMNS = "SERVICE,VERSION,SERVING,DRAINING";
    public static final String ROUTER_COLUMNS = "ROUTER,DATA CENTRE,ADDRESS,SETTINGS,HEARD";
    public static final String DRAINED_DATA_CENTRE_COLUMNS = "DRAINED DATA CENTRE,AUTHOR,SINCE";
    public static final String QUARANTINE_COLUMNS =
            "QUARANTINED,KIND,ACCOUNT,SERVICE,ENDED,LAST END,BACKEND SERVERS";
    public static final String SECONDS_AGO = "%d s ago";
    public static final String EFFECTIVE_COLUMNS = "KEY,VALUE,FROM";
    public static final String LEADER = "leader";
    public static final String FOLLOWER = "follower";
    public static final String LEARNER = "learner";
    public static final String NOT_A_MEMBER = "none";
    public static final String CURRENT = "current";
    public static final String POSSIBLY_STALE = "possibly stale";
    public static final String DRAIN_MARK = " (drain ordered)";
    public static final String DECISION = "%s %s %s: %s, %s";
    public static final String DECISION_INPUTS =
            "  chat %s, account %s, service %s, load %.1f, bound %.1f, version %s";
    public static final String DECISION_CANDIDATES = "  candidates %s";

    private Texts() {}
}
