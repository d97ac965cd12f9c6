package sprucelanding.program;

import sprucelanding.wire.Adapter;

/** The program's door: picks the subcommand. */
public final class Main {
    private Main() {
    }

    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("adapter")) {
            System.err.println(args.length == 0 ? "sprucelanding: no subcommand given"
                    : "sprucelanding: unknown arguments: " + String.join(" ", args));
            System.err.println("usage: sprucelanding adapter   (the decisions on the simulator's wire)");
            System.exit(2);
        }
        System.exit(new Adapter(System.in, System.out, System.err).run());
    }
}
