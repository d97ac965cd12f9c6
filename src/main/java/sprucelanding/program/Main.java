package sprucelanding.program;

import sprucelanding.wire.Adapter;

/** The program's door. The adapter starts at once; all else through Commands, which brings the libraries in. */
public final class Main {
    private Main() {
    }

    public static void main(String[] args) {
        if (args.length == 1 && args[0].equals("adapter")) {
            System.exit(new Adapter(System.in, System.out, System.err).run());
        }
        System.exit(Commands.run(args));
    }
}
